//! A name service as the protocol page describes it: SRV, A and TXT records of the engines, and the number of
//! the last event in the SOA record.

use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex};
use std::thread;

/// A listed engine.
#[derive(Clone, Debug)]
pub struct Listed {
    pub id: String,
    pub zone: String,
    pub kind: String,
    pub port: u16,
    /// Unix milliseconds of a late start, or 0.
    pub started: u64,
    pub draining: bool,
}

impl Listed {
    pub fn new(id: &str, port: u16) -> Listed {
        Listed { id: id.into(), zone: "here".into(), kind: "std".into(), port, started: 0, draining: false }
    }
}

/// `known` of a configuration.
pub fn known(number: u32, engines: &[Listed]) -> String {
    let members: Vec<String> = engines
        .iter()
        .map(|e| {
            let phase = if e.draining { "draining" } else { "up" };
            format!(
                "{{\"id\":\"{}\",\"host_port\":\"127.0.0.1:{}\",\"locality\":\"{}\",\"flavor\":\"{}\",\"cell\":0,\
                 \"phase\":\"{phase}\",\"size\":1,\"up_since_ms\":{}}}",
                e.id, e.port, e.zone, e.kind, e.started
            )
        })
        .collect();
    format!(
        "{{\"no\":{number},\"items\":[{{\"no\":{number},\"roster\":{{\"revision\":1,\"complete\":true,\"members\":[{}]}}}}]}}",
        members.join(",")
    )
}

type List = Arc<Mutex<(u32, Vec<Listed>)>>;

pub struct NameService {
    pub address: SocketAddr,
    list: List,
}

impl NameService {
    pub fn start(number: u32, engines: &[Listed]) -> Result<NameService, String> {
        let socket = UdpSocket::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
        let address = socket.local_addr().map_err(|e| e.to_string())?;
        let list: List = Arc::new(Mutex::new((number, engines.to_vec())));
        let served = list.clone();
        thread::spawn(move || {
            let mut bytes = [0; 2048];
            while let Ok((length, from)) = socket.recv_from(&mut bytes) {
                let Ok(list) = served.lock().map(|list| list.clone()) else { return };
                if let Some(answer) = answer(&bytes[..length], list.0, &list.1) {
                    let _ = socket.send_to(&answer, from);
                }
            }
        });
        Ok(NameService { address, list })
    }

    pub fn set(&self, number: u32, engines: &[Listed]) {
        if let Ok(mut list) = self.list.lock() {
            *list = (number, engines.to_vec());
        }
    }
}

fn name(labels: &[&str]) -> Vec<u8> {
    let mut bytes = Vec::new();
    for label in labels {
        bytes.push(label.len() as u8);
        bytes.extend_from_slice(label.as_bytes());
    }
    bytes.push(0);
    bytes
}

fn record(owner: &[u8], kind: u16, data: &[u8]) -> Vec<u8> {
    let mut bytes = owner.to_vec();
    bytes.extend(kind.to_be_bytes());
    bytes.extend(1u16.to_be_bytes());
    bytes.extend(5u32.to_be_bytes());
    bytes.extend((data.len() as u16).to_be_bytes());
    bytes.extend_from_slice(data);
    bytes
}

fn answer(query: &[u8], number: u32, engines: &[Listed]) -> Option<Vec<u8>> {
    let service = name(&["_rpc", "_tcp", "mesh", "local"]);
    let question = query.get(12..12 + service.len() + 4)?;
    let mut bytes = query.get(..2)?.to_vec();
    bytes.extend([0x84, 0x00]);
    for count in [1, engines.len() as u16, 1, 2 * engines.len() as u16] {
        bytes.extend(count.to_be_bytes());
    }
    bytes.extend_from_slice(question);
    let mut more = Vec::new();
    for engine in engines {
        let target = name(&[&engine.id, &engine.zone, "hosts"]);
        let mut data = u16::from(engine.draining).to_be_bytes().to_vec();
        data.extend(10u16.to_be_bytes());
        data.extend(engine.port.to_be_bytes());
        data.extend_from_slice(&target);
        bytes.extend(record(&service, 33, &data));
        more.extend(record(&target, 1, &[127, 0, 0, 1]));
        let texts = [format!("kind={}", engine.kind), "cell=0".into(), format!("started={}", engine.started)];
        let mut data = Vec::new();
        for text in texts {
            data.push(text.len() as u8);
            data.extend_from_slice(text.as_bytes());
        }
        more.extend(record(&target, 16, &data));
    }
    let mut soa = name(&["ns", "mesh", "local"]);
    soa.extend(name(&["admin", "mesh", "local"]));
    soa.extend(number.to_be_bytes());
    for _ in 0..4 {
        soa.extend(60u32.to_be_bytes());
    }
    bytes.extend(record(&name(&["mesh", "local"]), 6, &soa));
    bytes.extend(more);
    Some(bytes)
}
