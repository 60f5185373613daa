//! What must hold of the records of all engines of a run, whatever failed: read apart from the gateway's own code.

use crate::engine::Call;
use std::collections::HashMap;

/// How the statements of a run may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    Idempotent,
    Deduplicated,
    NonIdempotent,
}

/// One statement as its client saw it.
#[derive(Clone, Debug)]
pub struct ClientRecord {
    pub class: Class,
    /// The text as the client sent it, and whether it sent all of it.
    pub text: Vec<u8>,
    pub sent_completely: bool,
    /// The status of its final answers, in order, and whether the last one said that the text was not kept.
    pub answers: Vec<u16>,
    pub not_kept: bool,
}

/// What is wrong, a line each; empty where all holds. `shed`: a reply of the engine proved that nothing ran.
pub fn check(
    asked: &HashMap<String, ClientRecord>,
    calls: &[Call],
    shed: impl Fn(&Call) -> bool,
) -> Vec<String> {
    let mut wrong = Vec::new();
    for (id, asked) in asked {
        let ours: Vec<&Call> = calls
            .iter()
            .filter(|call| call.method == "POST" && call.headers.get("x-ticket") == Some(id))
            .collect();
        if asked.answers.len() != 1 && asked.sent_completely {
            wrong.push(format!("{id}: {} final answers", asked.answers.len()));
        }
        for call in &ours {
            // Whole ones byte for byte, others a beginning of it.
            if !asked.text.starts_with(&call.body) || (call.whole && call.body.len() != asked.text.len()) {
                wrong.push(format!("{id}: an engine got {} bytes that were not sent", call.body.len()));
            }
            if call.whole && !asked.sent_completely {
                wrong.push(format!("{id}: an engine took a text for whole that never was"));
            }
        }
        let touched = ours.iter().filter(|call| !shed(call)).count();
        if asked.class == Class::NonIdempotent && touched > 1 {
            wrong.push(format!("{id}: non-idempotent, and {touched} executions may have run"));
        }
        if asked.not_kept && ours.iter().filter(|call| !call.body.is_empty()).count() > 1 {
            wrong.push(format!("{id}: not kept, and sent more than once"));
        }
        let rejected = asked.answers.last().is_some_and(|status| matches!(status, 429 | 503));
        if rejected && asked.class == Class::NonIdempotent && touched > 0 {
            wrong.push(format!("{id}: rejected, and may have run"));
        }
        if asked.answers.last() == Some(&200) && !ours.iter().any(|call| call.whole) {
            wrong.push(format!("{id}: completed, and no engine had all of it"));
        }
    }
    wrong
}
