//! Case: a client sends many statements at once on one connection.

mod common;
use common::*;
use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Statements at once, what each takes, and how long their client waits.
const AT_ONCE: usize = 32;
const TAKES: Duration = Duration::from_millis(100);
const DEADLINE: Duration = Duration::from_millis(2000);
/// An answer may come half a second after its time; a node may be told 0.15 s more than the client has left.
const LATE: Duration = Duration::from_millis(500);
const DEADLINE_SLACK: Duration = Duration::from_millis(150);
const SLACK: Duration = Duration::from_millis(50);

fn main() -> ExitCode {
    run(case)
}

fn case() -> ExitCode {
    let (root, folder) = places();
    let record = Record::create(&folder.join("record.txt"));
    let temporary = Folder::new("pipeline");
    let nodes: Vec<Node> = (0..6).map(|n| Node::start(&format!("s-{n:08x}"), &record, Arc::new(|_| TAKES))).collect();
    let names = Names::start(nodes.iter().map(|node| Listed::of(node, "std-12")).collect());
    let address: SocketAddr = ([127, 0, 0, 1], free_port()).into();
    let text = config("n0", address, 192, 1024, &names, &ntmc_settings(3, 0));
    let mut gateway = Gateway::start(&root, &temporary.0, "n0", address, &text);
    if !gateway.is_ready() {
        record.say("the gateway was not ready in 30 s: the case couldn't run");
        return ExitCode::from(2);
    }
    // Some statements one after the other first, as usual clients send them.
    let statement = b"SELECT gate FROM maps_17.gates WHERE hall = 'a'";
    let one = |stream: &mut Option<BufReader<TcpStream>>| {
        let request = Request { id: new_id(), class: "lookup", org: "gatepath", key: None, deadline: DEADLINE, text: statement };
        let sent = Instant::now();
        let end = send(&record, stream, address, &request);
        (request.id, sent, end, Instant::now())
    };
    let mut stream = None;
    for _ in 0..40 {
        one(&mut stream);
    }
    close(&mut stream);
    // Id, when it was sent, its end, and when that came.
    let mut ends: Vec<(String, Instant, Outcome, Instant)> = Vec::new();
    if trouble() {
        let mut bytes = Vec::new();
        let ids: Vec<String> = (0..AT_ONCE).map(|_| new_id()).collect();
        for id in &ids {
            let head = format!(
                "POST /svc/lookup HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: {id}\r\nX-Deadline-Ms: {}\r\nX-Org: gatepath\r\nContent-Length: {}\r\n\r\n",
                DEADLINE.as_millis(), statement.len()
            );
            bytes.extend([head.as_bytes(), statement].concat());
        }
        let mut stream = TcpStream::connect(address).expect("connect");
        let _ = stream.set_nodelay(true);
        stream.write_all(&bytes).expect("write");
        // From when the last byte of all was written, in the gateway's favour.
        let sent = Instant::now();
        record.line(format!("client: has sent {AT_ONCE} statements at once, {} bytes", bytes.len()));
        let _ = stream.set_read_timeout(Some(Duration::from_secs(10)));
        let mut read = BufReader::new(stream);
        for id in ids {
            // No answer is waited for longer than 10 s after all were sent.
            let left = Duration::from_secs(10).saturating_sub(sent.elapsed()).max(Duration::from_millis(1));
            let _ = read.get_ref().set_read_timeout(Some(left));
            let end = match read_message(&mut read) {
                Ok(Some(answer)) if answer.status() == 200 => {
                    let body = String::from_utf8_lossy(&answer.body).into_owned();
                    // Followed on a connection of its own, so that it does not wait behind the other statements.
                    match body.split("\"link\":\"").nth(1).and_then(|rest| rest.split('"').next()) {
                        None => Outcome::Served,
                        Some(link) => {
                            let mut other = TcpStream::connect(address).expect("connect");
                            let _ = other.set_read_timeout(Some(left));
                            let _ = other.write_all(format!("GET {link} HTTP/1.1\r\nHost: origin.svc\r\n\r\n").as_bytes());
                            match read_message(&mut BufReader::new(other)) {
                                Ok(Some(answer)) if answer.status() == 200 => Outcome::Served,
                                Ok(Some(answer)) => Outcome::Failed(answer.status()),
                                _ => Outcome::Lost("no answer".into()),
                            }
                        }
                    }
                }
                Ok(Some(answer)) if matches!(answer.status(), 429 | 503) => Outcome::Refused,
                Ok(Some(answer)) => Outcome::Failed(answer.status()),
                Ok(None) => Outcome::Lost("the connection was closed with no answer".into()),
                Err(e) => Outcome::Lost(e.to_string()),
            };
            let now = Instant::now();
            record.line(format!("client: {id} ends after {} ms: {end:?}", (now - sent).as_millis()));
            ends.push((id, sent, end, now));
        }
    } else {
        let mut stream = None;
        (0..AT_ONCE).for_each(|_| ends.push(one(&mut stream)));
        close(&mut stream);
    }
    std::thread::sleep(Duration::from_millis(500));
    let mut begun: HashMap<String, (Instant, Duration)> = HashMap::new();
    for node in &nodes {
        for begin in node.begun.lock().unwrap().iter() {
            begun.insert(begin.id.clone(), (begin.at, begin.max_wait));
        }
    }
    let (mut late, mut over, mut most) = (0, 0, Duration::ZERO);
    for (id, sent, end, at) in &ends {
        if matches!(end, Outcome::Lost(_)) || *at > *sent + DEADLINE + LATE + SLACK {
            late += 1;
            record.line(format!("lost: {id}, its end came {} ms after it was sent", (*at - *sent).as_millis()));
        }
        if let Some((begins, told)) = begun.get(id) {
            let left = (*sent + DEADLINE).saturating_duration_since(*begins);
            if *told > left + DEADLINE_SLACK + SLACK {
                over += 1;
                most = most.max(*told - left);
                record.line(format!("deadline: {id}, a node was told {} ms, the client had {} ms left", told.as_millis(), left.as_millis()));
            }
        }
    }
    let served = ends.iter().filter(|end| end.2 == Outcome::Served).count();
    record.say(format!("{AT_ONCE} statements: {served} served at any time, {late} with their final answer over half a second late or never; {over} times a node was told of more time than the client had, {} ms at most", most.as_millis()));
    if late > 0 {
        record.say("BROKEN: statements were lost");
        return ExitCode::from(1);
    }
    record.say("HELD");
    ExitCode::SUCCESS
}
