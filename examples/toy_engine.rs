//! A toy engine: speaks the engines' side of the protocol, runs nothing, and completes each statement after a while
//! with rows of its own. For trying the gateway by hand:
//!
//!     cargo run --release --example toy-engine -- 127.0.0.1:7101 300
//!
//! The address to listen at, and the milliseconds that a statement takes.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// How long news are waited for, how long a statement lives that no one asks for, and rows of a result and a page.
const NEWS_WITHIN: Duration = Duration::from_millis(250);
const UNASKED: Duration = Duration::from_secs(2);
const ROWS: usize = 250;
const PAGE_ROWS: usize = 100;

struct Run {
    ends: Instant,
    asked: Instant,
    pages: Vec<String>,
}

#[derive(Default)]
struct Runs {
    by_id: Mutex<HashMap<String, Run>>,
    deleted: Condvar,
}

fn main() {
    let mut words = std::env::args().skip(1);
    let address = words.next().unwrap_or_else(|| "127.0.0.1:7101".into());
    let takes = Duration::from_millis(words.next().and_then(|ms| ms.parse().ok()).unwrap_or(300));
    let listener = TcpListener::bind(&address).unwrap_or_else(|e| {
        eprintln!("toy-engine: {address}: {e}");
        std::process::exit(1)
    });
    eprintln!("toy-engine: at {address}, {} ms a statement", takes.as_millis());
    let runs = Arc::new(Runs::default());
    for stream in listener.incoming().flatten() {
        let runs = runs.clone();
        std::thread::spawn(move || serve(stream, &runs, takes));
    }
}

fn serve(stream: TcpStream, runs: &Runs, takes: Duration) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let mut read = BufReader::new(stream.try_clone().ok()?);
    let mut write = stream;
    loop {
        let mut first = String::new();
        if read.read_line(&mut first).ok()? == 0 {
            return None;
        }
        let mut headers = HashMap::new();
        loop {
            let mut line = String::new();
            read.read_line(&mut line).ok()?;
            let Some((name, value)) = line.trim_end().split_once(':') else { break };
            headers.insert(name.to_ascii_lowercase(), value.trim().to_string());
        }
        let length = headers.get("content-length").and_then(|n| n.parse().ok()).unwrap_or(0);
        let mut text = vec![0; length];
        read.read_exact(&mut text).ok()?;
        let mut words = first.split_whitespace();
        let (method, path) = (words.next()?, words.next()?.to_string());
        let (status, more, body) = answer(method, &path, &headers, &text, runs, takes);
        let head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n{more}\r\n", body.len());
        write.write_all(head.as_bytes()).and_then(|()| write.write_all(body.as_bytes())).ok()?;
    }
}

type Answer = (&'static str, String, String);

fn answer(
    method: &str,
    path: &str,
    headers: &HashMap<String, String>,
    text: &[u8],
    runs: &Runs,
    takes: Duration,
) -> Answer {
    let plain = |status| (status, String::new(), String::new());
    let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
    match (method, &parts[..]) {
        ("POST", ["x"]) => {
            let Some(id) = headers.get("x-ticket") else { return plain("500 No Ticket") };
            let now = Instant::now();
            let mut by_id = runs.by_id.lock().unwrap();
            by_id.retain(|_, run| now - run.asked < UNASKED);
            let run = Run { ends: now + takes, asked: now, pages: pages(text) };
            by_id.insert(id.clone(), run);
            drop(by_id);
            news(id, runs)
        }
        ("GET", ["x", id, "0"]) => news(id, runs),
        ("GET", ["x", id, number]) => {
            let mut by_id = runs.by_id.lock().unwrap();
            let Some(run) = by_id.get_mut(*id) else { return plain("500 Not Known") };
            run.asked = Instant::now();
            match number.parse().ok().and_then(|at: usize| run.pages.get(at)) {
                Some(page) => ("200 OK", format!("Page-No: {number}\r\n"), page.clone()),
                None => plain("500 No Such Page"),
            }
        }
        ("DELETE", ["x", id]) => {
            runs.by_id.lock().unwrap().remove(*id);
            runs.deleted.notify_all();
            plain("204 No Content")
        }
        ("GET", ["ping" | "load"]) => ("200 OK", "X-Meter: util:0.10\r\n".into(), String::new()),
        _ => plain("404 Not Found"),
    }
}

/// The end of a statement, or after a while that there is none yet.
fn news(id: &str, runs: &Runs) -> Answer {
    let until = Instant::now() + NEWS_WITHIN;
    let mut by_id = runs.by_id.lock().unwrap();
    loop {
        let now = Instant::now();
        let Some(run) = by_id.get_mut(id) else { return ("500 Not Known", String::new(), String::new()) };
        run.asked = now;
        if now >= run.ends {
            let more = format!(
                "Page-Count: {}\r\nWork-Ms: 100\r\nPeak-Mb: 32\r\nX-Meter: util:0.10\r\n",
                run.pages.len()
            );
            return ("200 OK", more, run.pages[0].clone());
        }
        if now >= until {
            return ("202 Accepted", "X-Remark: so_far\r\nFigure: 0.5\r\n".into(), String::new());
        }
        let wait = run.ends.min(until) - now;
        by_id = runs.deleted.wait_timeout(by_id, wait).unwrap().0;
    }
}

fn pages(text: &[u8]) -> Vec<String> {
    // Of a text of megabytes the beginning will do.
    let text: String = String::from_utf8_lossy(&text[..text.len().min(200)]).chars().take(50).collect();
    let text = text.replace(['\t', '\n'], " ");
    let rows: Vec<String> = (0..ROWS).map(|row| format!("{row}\t{}\t{text}\n", row * row)).collect();
    rows.chunks(PAGE_ROWS).map(|page| page.concat()).collect()
}
