//! The group of tables that a statement reads or writes: the number behind the underscore in the name of the
//! schema. Names in strings and comments do not count, nor does a schema without such a number.

use sqlparser::dialect::GenericDialect;
use sqlparser::keywords::Keyword;
use sqlparser::tokenizer::{Token, Tokenizer};

/// Words behind which the name of a table stands.
const BEFORE_TABLES: [Keyword; 9] = [
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

/// Of a long text, what is looked at first.
const BEGINNING: usize = 2048;

/// None where the text names no group; what comes behind a place that cannot be read is passed over.
pub fn group(statement: &[u8]) -> Option<u64> {
    // Most name their tables at once, and what follows in a long one may be rows without end.
    let first = statement.get(..BEGINNING).and_then(group_of_prefix);
    first.or_else(|| find(statement, true))
}

fn find(statement: &[u8], whole: bool) -> Option<u64> {
    let text = String::from_utf8_lossy(statement);
    let mut tokens = Vec::new();
    // An error leaves the tokens before it.
    let _ = Tokenizer::new(&GenericDialect {}, &text).tokenize_with_location_into_buf(&mut tokens);
    let tokens: Vec<Token> = tokens.into_iter().map(|t| t.token).collect();
    let tokens: Vec<&Token> = tokens.iter().filter(|t| !matches!(t, Token::Whitespace(_))).collect();
    // Whether a list of tables goes on there, whether a table was found, and the first group of another name.
    let (mut listing, mut tables, mut other) = (false, false, None);
    let mut at = 0;
    while at < tokens.len() {
        let name = name_at(&tokens, at);
        // The cut may be within a dotted name.
        if !whole && at + 2 * name.len() >= tokens.len() {
            return None;
        }
        let before = at.checked_sub(1).map(|before| tokens[before]);
        if let [.., schema, _] = name[..] {
            let group = number(schema);
            listing = match before {
                Some(Token::Comma) => listing,
                Some(Token::Word(word)) => BEFORE_TABLES.contains(&word.keyword),
                _ => false,
            };
            if listing && group.is_some() {
                return group;
            }
            (tables, other) = (tables || listing, other.or(group));
        } else {
            listing &= match tokens[at] {
                Token::Word(word) => matches!(word.keyword, Keyword::NoKeyword | Keyword::AS),
                token => *token == Token::Comma,
            };
        }
        at += (2 * name.len()).max(2) - 1;
    }
    // Without any table, such as in commands that are not known here, another name will do.
    other.filter(|_| !tables && whole)
}

/// Of the first part of a text: none rather than a wrong one, so what the cut may have shortened does not count, and no name
/// that only might be a table's.
pub fn group_of_prefix(part: &[u8]) -> Option<u64> {
    let whole = part.iter().rposition(|byte| byte.is_ascii_whitespace())?;
    find(&part[..whole], false)
}

/// The words of a dotted name that begins there.
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

fn number(schema: &str) -> Option<u64> {
    let (_, number) = schema.rsplit_once('_')?;
    number.bytes().all(|b| b.is_ascii_digit()).then(|| number.parse().ok()).flatten()
}
