//! Determines the table group that a statement reads or writes: the number after the underscore in the
//! schema's name. Names in strings and comments do not count, nor does a schema without such a number.

use sqlparser::dialect::GenericDialect;
use sqlparser::keywords::Keyword;
use sqlparser::tokenizer::{Token, Tokenizer};

/// Keywords that are followed by the name of a table.
const TABLE_KEYWORDS: [Keyword; 9] = [
    Keyword::FROM,
    Keyword::JOIN,
    Keyword::INTO,
    Keyword::UPDATE,
    Keyword::TABLE,
    Keyword::ONLY,
    Keyword::MERGE,
    Keyword::USING,
    Keyword::COPY,
];

/// Bytes at the start of a long statement that are searched first.
const PREFIX_BYTES: usize = 2048;

/// The table group of a statement; none if it names none. Text after a tokenizer error is ignored.
pub fn group(statement: &[u8]) -> Option<u64> {
    // Most statements name their tables at the start, and the rest of a long one may be any number of rows.
    let first = statement.get(..PREFIX_BYTES).and_then(group_of_prefix);
    first.or_else(|| find(statement, true))
}

/// Searches the statement, or a prefix of it unless `whole`.
fn find(statement: &[u8], whole: bool) -> Option<u64> {
    let text = String::from_utf8_lossy(statement);
    let mut tokens = Vec::new();
    // On an error the tokens before it are kept.
    let _ = Tokenizer::new(&GenericDialect {}, &text).tokenize_with_location_into_buf(&mut tokens);
    let tokens: Vec<Token> = tokens.into_iter().map(|t| t.token).collect();
    let tokens: Vec<&Token> = tokens.iter().filter(|t| !matches!(t, Token::Whitespace(_))).collect();
    // Whether the position is within a list of tables, whether a table was found, and the first group in any
    // other name.
    let (mut in_table_list, mut found_table, mut other_group) = (false, false, None);
    let mut at = 0;
    while at < tokens.len() {
        let name = name_at(&tokens, at);
        // The prefix may end within a dotted name.
        if !whole && at + 2 * name.len() >= tokens.len() {
            return None;
        }
        let before = at.checked_sub(1).map(|before| tokens[before]);
        if let [.., schema, _] = name[..] {
            let group = schema_number(schema);
            in_table_list = match before {
                Some(Token::Comma) => in_table_list,
                Some(Token::Word(word)) => TABLE_KEYWORDS.contains(&word.keyword),
                _ => false,
            };
            if in_table_list && group.is_some() {
                return group;
            }
            (found_table, other_group) = (found_table || in_table_list, other_group.or(group));
        } else {
            in_table_list &= match tokens[at] {
                Token::Word(word) => matches!(word.keyword, Keyword::NoKeyword | Keyword::AS),
                token => *token == Token::Comma,
            };
        }
        at += (2 * name.len()).max(2) - 1;
    }
    // A statement in which no table was recognized, such as an unknown command, takes the group of another
    // name.
    other_group.filter(|_| !found_table && whole)
}

/// The table group from the first part of a statement: none rather than a wrong one. Words that the end of
/// the prefix may have shortened do not count, nor do names that are not certain to be a table's.
pub fn group_of_prefix(prefix: &[u8]) -> Option<u64> {
    let end = prefix.iter().rposition(|byte| byte.is_ascii_whitespace())?;
    find(&prefix[..end], false)
}

/// The words of the dotted name that begins at this token.
fn name_at<'a>(tokens: &[&'a Token], at: usize) -> Vec<&'a str> {
    let mut words = Vec::new();
    for pair in tokens[at..].chunks(2) {
        let Token::Word(word) = pair[0] else { break };
        words.push(word.value.as_str());
        if !matches!(pair.get(1), Some(Token::Period)) {
            break;
        }
    }
    words
}

fn schema_number(schema: &str) -> Option<u64> {
    let (_, number) = schema.rsplit_once('_')?;
    number.bytes().all(|b| b.is_ascii_digit()).then(|| number.parse().ok()).flatten()
}
