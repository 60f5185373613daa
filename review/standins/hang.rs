//! Case: a node hangs for some seconds; what it was sent waits unread in its machine, and its queue of new connections is full.

mod common;
use common::*;
use std::collections::HashMap;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const NODES: usize = 6;
/// How many new connections wait at a node that does not accept them.
const QUEUE: i32 = 64;
const CLIENTS: u64 = 32;
const QUIET: Duration = Duration::from_secs(8);
const HANG: Duration = Duration::from_secs(16);
const AFTER: Duration = Duration::from_secs(6);

extern "C" {
    fn prctl(option: i32, arg: u64, a: u64, b: u64, c: u64) -> i32;
}

struct Process(Child, SocketAddr, String);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

type Events = Arc<Mutex<Vec<(u64, String)>>>;

fn start_node(id: &str, record: &Arc<Record>, events: &Events) -> Process {
    let mut command = Command::new(std::env::current_exe().unwrap());
    command.args(["node", id]).stdin(Stdio::null()).stdout(Stdio::piped());
    // Safety: one system call; the node ends with this process, however that ends.
    unsafe { command.pre_exec(|| { prctl(1, 9, 0, 0, 0); Ok(()) }) };
    let mut child = command.spawn().expect("node");
    let mut read = BufReader::new(child.stdout.take().unwrap());
    let mut line = String::new();
    read.read_line(&mut line).expect("address of the node");
    let address = line.trim().parse().expect("address");
    let (record, events) = (record.clone(), events.clone());
    std::thread::spawn(move || {
        for line in read.lines().map_while(Result::ok) {
            let Some((at, text)) = line.split_once(' ') else { continue };
            record.line(format!("[{at}] {text}"));
            events.lock().unwrap().push((at.parse().unwrap_or(0), text.to_string()));
        }
    });
    Process(child, address, id.into())
}

/// What a query takes, by its text: "... -- 900 ms".
fn takes(begun: &Begun) -> Duration {
    let text = String::from_utf8_lossy(&begun.text).into_owned();
    let ms = text.rsplit("-- ").next().and_then(|rest| rest.split(' ').next()).and_then(|ms| ms.parse().ok());
    Duration::from_millis(ms.unwrap_or(100))
}

fn node() {
    let id = std::env::args().nth(2).unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").expect("node");
    set_backlog(&listener, QUEUE);
    KEEPALIVE_MS.store(30_000, Ordering::Relaxed);
    println!("{}", listener.local_addr().unwrap());
    let _node = Node::start_on(listener, &id, &Record::to_parent(), Arc::new(takes));
    loop {
        std::thread::sleep(Duration::from_secs(3600));
    }
}

/// The settings of a small deployment after the operators' page on `casa-sidi-maarouf`: never two executions of a statement out.
pub fn casa_settings() -> String {
    r#"{"allowed":{"cpuUsPerRequest":0.0,"cpuUsPerS":400000,"dialTimeoutUs":250000,"keepaliveUs":30000000,"maxOpen":26666,"maxRetryAfterUs":2000000,"maxStreams":32,"mayCancel":true,"mayProbe":false,"peers":false,"retryAfter":true,"secondCopies":false,"tryLimit":5},
"balancers":1,"callers":{"marksRetry":false},"discovery":"pushed",
"domain":{"blockedByLoads":[true,true,false],"classLoad":[false,false,true],"classThreads":[1,4,2],"kindMemoryMb":[24576.0],"lanesCount":true,"maxGrantShare":0.4,"notePeriodUs":500000,"outOfMemory":"cut","reportX0":"share of memory granted","reportX1":"share of disks busy","sizeCores":[12],"takesGrants":false,"tellsCost":false},
"kinds":["c12"],"overShareWorth":1.0,"prices":{"crossZone":0.04,"waste":0.056},
"profiles":[{"aimStretch":1.5,"deadlineUs":4000000,"effect":"read_like","gain":1.0,"group":"all","lateValue":0.1,"memorySpanUs":5000000,"name":"seat-check","promiseUs":800000,"streamed":false},
{"aimStretch":2.5,"deadlineUs":20000000,"effect":"read_like","gain":6.0,"group":"all","lateValue":0.3,"memorySpanUs":5000000,"name":"usage-report","promiseUs":1500000,"streamed":false},
{"aimStretch":2.5,"deadlineUs":20000000,"effect":"non_idempotent","gain":5.0,"group":"all","lateValue":0.6,"memorySpanUs":15000000,"name":"log-load","promiseUs":4000000,"streamed":false}],
"rank":0,"report":{"names":["cpu_share"],"via":"inline"},
"rules":{"answerSlackUs":20000,"askEveryUs":10000000,"coldUs":14000000,"fallMultiple":4.0,"startCapacity":0.3,"stopSendingWithinUs":500000,"tipAfterUs":2000000},
"serviceType":"queries","tenants":[{"allowancePerS":500.0,"name":"atlas","portion":1.0}],
"tickUs":5000,"tier":0,"tiers":["usage-engines"],"weights":"nominal","worthBy":"request","zone":"hall-a","zones":["hall-a"]}"#.into()
}

fn main() -> ExitCode {
    if std::env::args().nth(1).as_deref() == Some("node") {
        node();
    }
    run(case)
}

fn case() -> ExitCode {
    let (root, folder) = places();
    let record = Record::create(&folder.join("record.txt"));
    let temporary = Folder::new("hang");
    let events = Events::default();
    let nodes: Vec<Process> = (0..NODES).map(|n| start_node(&format!("s-{n:08x}"), &record, &events)).collect();
    let listed = nodes.iter().map(|node| Listed { id: node.2.clone(), zone: "hall-a".into(), kind: "c12".into(), cell: 0, address: node.1, draining: false, started_ms: 0 });
    let names = Names::start(listed.collect());
    let address: SocketAddr = ([127, 0, 0, 1], free_port()).into();
    let text = config("n0", address, 192, 1024, &names, &casa_settings());
    let mut gateway = Gateway::start(&root, &temporary.0, "n0", address, &text);
    if !gateway.is_ready() {
        record.say("the gateway was not ready in 30 s: the case couldn't run");
        return ExitCode::from(2);
    }
    let over = Arc::new(AtomicBool::new(false));
    let ends: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let turn = Arc::new(AtomicU64::new(1));
    let clients: Vec<_> = (0..CLIENTS).map(|_| {
        let (over, ends, record, turn) = (over.clone(), ends.clone(), record.clone(), turn.clone());
        std::thread::spawn(move || {
            let mut stream = None;
            while !over.load(Ordering::Relaxed) {
                // Some three seconds on four threads.
                let ms = 2600 + (turn.fetch_add(0x9e37_79b9, Ordering::Relaxed) >> 7) % 600;
                let text = format!("SELECT seats FROM usage_17.log WHERE member = 'a' -- {ms} ms");
                let request = Request { id: new_id(), class: "usage-report", org: "atlas", key: None, deadline: Duration::from_secs(20), text: text.as_bytes() };
                let end = send(&record, &mut stream, address, &request);
                ends.lock().unwrap().push(end);
                std::thread::sleep(Duration::from_millis(30));
            }
            close(&mut stream);
        })
    }).collect();
    std::thread::sleep(QUIET);
    if trouble() {
        record.line(format!("trouble: node {} hangs", nodes[0].2));
        signal(nodes[0].0.id(), SIGSTOP);
    }
    std::thread::sleep(HANG);
    if trouble() {
        record.line(format!("trouble: node {} goes on", nodes[0].2));
        signal(nodes[0].0.id(), SIGCONT);
    }
    std::thread::sleep(AFTER);
    over.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|thread| drop(thread.join()));
    std::thread::sleep(Duration::from_secs(3));
    // Judged by the nodes' own words: when each attempt began, and when it ended or was given up.
    let events = events.lock().unwrap();
    let mut attempts: HashMap<String, Vec<(String, u64, u64)>> = HashMap::new();
    for (at, text) in events.iter() {
        let words: Vec<&str> = text.split(' ').collect();
        let node = words[1].trim_end_matches(':').to_string();
        if words[2] == "begins" {
            let takes: u64 = words[words.len() - 2].parse().unwrap_or(0);
            attempts.entry(words[3].into()).or_default().push((node, *at, at + takes));
        } else if let Some(all) = attempts.get_mut(words[2]) {
            if let Some(attempt) = all.iter_mut().rev().find(|attempt| attempt.0 == node) {
                attempt.2 = attempt.2.min(*at);
            }
        }
    }
    let (mut twice, mut both, mut example) = (0, 0, String::new());
    for (id, all) in &attempts {
        twice += u64::from(all.len() > 1);
        for (n, a) in all.iter().enumerate() {
            for b in &all[n + 1..] {
                // The page's 50 ms of slack.
                if a.1.max(b.1) + 50 < a.2.min(b.2) {
                    both += 1;
                    example = format!("{id}: at {} from {} to {}, at {} from {} to {}", a.0, a.1, a.2, b.0, b.1, b.2);
                    record.line(format!("two attempts out at once: {example}"));
                }
            }
        }
    }
    let ends = ends.lock().unwrap();
    let count = |is: fn(&Outcome) -> bool| ends.iter().filter(|end| is(end)).count();
    record.say(format!("clients: {} served, {} refused, {} failed, {} lost; {twice} statements had further attempts, {both} pairs of attempts were out at once",
        count(|end| *end == Outcome::Served), count(|end| *end == Outcome::Refused),
        count(|end| matches!(end, Outcome::Failed(_))), count(|end| matches!(end, Outcome::Lost(_)))));
    if both > 0 {
        record.say(format!("BROKEN: {example}"));
        return ExitCode::from(1);
    }
    record.say("HELD");
    ExitCode::SUCCESS
}
