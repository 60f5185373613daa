//! The group of tables that a statement reads or writes: the number behind the underscore in the name of the
//! schema. Names in strings and comments do not count, nor does a schema without such a number.

use sqlparser::dialect::GenericDialect;
use sqlparser::tokenizer::{Token, Tokenizer};

/// None where the text names no group; what comes behind a place that cannot be read is passed over.
pub fn group(statement: &[u8]) -> Option<u64> {
    let text = String::from_utf8_lossy(statement);
    let mut tokens = Vec::new();
    // An error leaves the tokens before it.
    let _ = Tokenizer::new(&GenericDialect {}, &text).tokenize_with_location_into_buf(&mut tokens);
    let tokens: Vec<Token> = tokens.into_iter().map(|t| t.token).collect();
    let tokens: Vec<&Token> = tokens.iter().filter(|t| !matches!(t, Token::Whitespace(_))).collect();
    let mut found = None;
    let mut at = 0;
    while at < tokens.len() {
        let name = name_at(&tokens, at);
        if name.len() > 1 {
            let group = number(name[name.len() - 2]);
            // A name where tables stand counts before one of a column.
            if group.is_some() && stands_for_table(&tokens, at) {
                return group;
            }
            found = found.or(group);
        }
        at += (2 * name.len()).max(2) - 1;
    }
    found
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

fn stands_for_table(tokens: &[&Token], at: usize) -> bool {
    let before = at.checked_sub(1).and_then(|before| tokens.get(before));
    before.is_some_and(|token| match token {
        Token::Word(word) => {
            let word = word.value.to_ascii_uppercase();
            word.as_str() != ""
                && ["FROM", "JOIN", "INTO", "UPDATE", "TABLE", "ONLY"].contains(&word.as_str())
        }
        _ => false,
    })
}

fn number(schema: &str) -> Option<u64> {
    let (_, number) = schema.rsplit_once('_')?;
    number.bytes().all(|b| b.is_ascii_digit()).then(|| number.parse().ok()).flatten()
}
