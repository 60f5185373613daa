//! Answers whose length does not fit: does a client get a result with rows missing as a whole one?

use crate::client::{self, End, Message};
use crate::engine::{Answer, Behaviour, Engine, Plan};
use crate::gateway::Gateway;
use crate::names::{known, Listed, NameService};
use crate::{record, Verdict};
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::Duration;

const CLIENTS: usize = 8;
const STATEMENTS: usize = 60;
/// One good answer in so many has a length that does not fit.
const SPOILT: u64 = 4;
const ROWS: usize = 40;

/// Writes an answer in pieces, a row each, as a server that flushes each row.
struct Rows {
    trouble: bool,
    answers: AtomicU64,
}

/// The rows of a statement: three columns, and what they hold goes by the statement's text.
fn rows(text: &str) -> Vec<String> {
    (0..ROWS).map(|row| format!("{text}\t{row}\tx\n")).collect()
}

/// Numbers that look random and are the same in each run.
fn mix(number: u64) -> u64 {
    let mixed = number.wrapping_add(0x9e37_79b9_7f4a_7c15).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    (mixed ^ (mixed >> 29)).wrapping_mul(0x94d0_49bb_1331_11eb) >> 32
}

impl Behaviour for Rows {
    fn plan(&self, call: &Message) -> Plan {
        let text = String::from_utf8_lossy(&call.body).into_owned();
        Plan { takes: Duration::from_millis(20), pages: vec![rows(&text).concat().into_bytes()] }
    }

    fn write(&self, stream: &mut TcpStream, answer: &Answer) -> bool {
        let number = self.answers.fetch_add(1, Ordering::Relaxed);
        let whole = answer.body.len();
        let spoilt = self.trouble && whole > 0 && mix(number) % SPOILT == 0;
        // A length that is too small, by any number of bytes.
        let length = if spoilt { 1 + mix(number + (1 << 40)) as usize % (whole - 1) } else { whole };
        if spoilt {
            record::line(&format!("an answer of {whole} bytes is said to have {length}"));
        }
        let (head, body) = answer.bytes(length);
        let mut pieces = vec![&head[..]];
        pieces.extend(body.split_inclusive(|byte| *byte == b'\n'));
        for piece in pieces {
            if stream.write_all(piece).is_err() {
                return false;
            }
            sleep(Duration::from_micros(500));
        }
        !spoilt
    }
}

pub fn play(trouble: bool) -> Verdict {
    let mut engines = Vec::new();
    for name in ["e-1", "e-2"] {
        engines.push(Engine::start(name, 1000, Rows { trouble, answers: AtomicU64::new(0) })?);
    }
    let listed: Vec<Listed> = engines.iter().map(|e| Listed::new(&e.name, e.address.port())).collect();
    let names = NameService::start(1, &listed)?;
    let config = format!(
        "{{\"name\":\"g-1\",\"listen\":\"127.0.0.1:1\",\"seed\":\"8c1f30d27a5be964\",\
          \"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}},\"names\":\"{}\",\"known\":{},\
          \"settings\":{{\"balancers\":1,\"zone\":\"here\",\"tickUs\":5000,\"kinds\":[\"std\"],\
          \"tenants\":[{{\"name\":\"acme\"}}],\"domain\":{{\"sizeCores\":[12],\"kindMemoryMb\":[24576]}},\
          \"profiles\":[{{\"name\":\"lookup\",\"promiseUs\":400000,\"deadlineUs\":2000000,\"effect\":\"read_like\",\"gain\":1}}],\
          \"allowed\":{{\"tryLimit\":5,\"mayCancel\":true,\"secondCopies\":true,\"retryAfter\":true,\"maxRetryAfterUs\":2000000,\
          \"dialTimeoutUs\":250000,\"keepaliveUs\":15000000}},\
          \"rules\":{{\"startCapacity\":0.32,\"coldUs\":15000000,\"fallMultiple\":2,\"tipAfterUs\":2000000,\
          \"stopSendingWithinUs\":250000}}}}}}",
        names.address,
        known(1, &listed)
    );
    let gateway = Gateway::start("g-1", &config, None)?;
    let counts = Arc::new(Mutex::new((0, 0, 0)));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (address, counts) = (gateway.address, counts.clone());
            thread::spawn(move || {
                for number in 0..STATEMENTS {
                    let text = format!("s{client}q{number}");
                    let id = client::new_id();
                    let end = client::run(address, "lookup", &id, 2000, &[], &text);
                    let mut word = end.word();
                    let Ok(mut counts) = counts.lock() else { return };
                    match &end {
                        End::Served(answer) => {
                            let wanted: Vec<String> = rows(&text)
                                .iter()
                                .flat_map(|row| row.trim_end().split('\t').map(str::to_string).collect::<Vec<_>>())
                                .collect();
                            let got = &answer.rows;
                            counts.0 += 1;
                            if *got != wanted {
                                counts.1 += 1;
                                word = format!("served with {} of {ROWS} rows", got.len() / 3);
                            }
                        }
                        _ => counts.2 += 1,
                    }
                    record::line(&format!("client gets {id}: {word}"));
                }
            })
        })
        .collect();
    clients.into_iter().for_each(|client| drop(client.join()));
    let (served, wrong, other) = *counts.lock().map_err(|e| e.to_string())?;
    record::line(&format!("{served} served, {wrong} of these not with all rows, {other} not served"));
    println!("{served} served, {wrong} of these not with all rows, {other} not served");
    if served == 0 {
        return Err("nothing was served".into());
    }
    Ok(wrong == 0)
}
