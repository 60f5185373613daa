//! A stand-in for the name service.

use bramblewharf_standins::TEST_TIMEOUT;
use hickory_proto::op::{Message, MessageType};
use hickory_proto::rr::rdata::{A, SOA, SRV, TXT};
use hickory_proto::rr::{Name, RData, Record};
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::{mpsc, Mutex};

/// The id of a query, for the answer to it.
pub fn query_id(bytes: &[u8]) -> u16 {
    Message::from_vec(bytes).unwrap().metadata.id
}

/// The service name that engines are listed under.
pub const SERVICE: &str = "_rpc._tcp.mesh.local.";

/// The start that the protocol states for engines that have been up for long.
pub const LONG_AGO_MS: u64 = 0;

/// An engine as the name service lists it.
#[derive(Clone)]
pub struct EngineRecord {
    pub id: String,
    pub address: SocketAddr,
    pub priority: u16,
    pub started_ms: u64,
}

impl EngineRecord {
    /// A ready engine that started long ago.
    pub fn ready(id: &str, address: SocketAddr) -> EngineRecord {
        EngineRecord { id: id.into(), address, priority: 0, started_ms: LONG_AGO_MS }
    }
}

/// An answer of the name service, with engines by id, address and priority.
pub fn list_answer(id: u16, serial: u32, engines: &[(&str, SocketAddr, u16)]) -> Message {
    let records: Vec<EngineRecord> = engines
        .iter()
        .map(|(id, address, priority)| EngineRecord {
            priority: *priority,
            ..EngineRecord::ready(id, *address)
        })
        .collect();
    records_answer(id, serial, &records)
}

/// An answer of the name service with these engines.
pub fn records_answer(id: u16, serial: u32, engines: &[EngineRecord]) -> Message {
    let name = |text: &str| Name::from_ascii(text).unwrap();
    let record = |owner: &str, data| Record::from_rdata(name(owner), 0, data);
    let mut message = Message::query();
    (message.metadata.id, message.metadata.message_type) = (id, MessageType::Response);
    for EngineRecord { id, address, priority, started_ms } in engines {
        let target = format!("{id}.z.hosts.");
        let srv = SRV::new(*priority, 40, address.port(), name(&target));
        message.add_answer(record(SERVICE, RData::SRV(srv)));
        message.add_additional(record(&target, RData::A(A(Ipv4Addr::LOCALHOST))));
        let texts = vec!["kind=k".to_string(), "cell=2".to_string(), format!("started={started_ms}")];
        message.add_additional(record(&target, RData::TXT(TXT::new(texts))));
    }
    let soa = SOA::new(name("mesh.local."), name("mesh.local."), serial, 1, 1, 1, 1);
    message.add_authority(record("mesh.local.", RData::SOA(soa)));
    message
}

/// Answers the nth query with what `answers` returns for its number and id; reports each query on a channel.
pub fn name_service(
    answers: impl Fn(usize, u16) -> Vec<Message> + Send + 'static,
) -> (SocketAddr, mpsc::Receiver<usize>) {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let address = socket.local_addr().unwrap();
    let (reported, queries) = mpsc::channel();
    std::thread::spawn(move || {
        let mut bytes = [0; 512];
        for number in 0.. {
            let (length, from) = socket.recv_from(&mut bytes).unwrap();
            let query = Message::from_vec(&bytes[..length]).unwrap();
            for message in answers(number, query.metadata.id) {
                socket.send_to(&message.to_vec().unwrap(), from).unwrap();
            }
            if reported.send(number).is_err() {
                return;
            }
        }
    });
    (address, queries)
}

/// A name service whose list the test sets.
pub struct ListedEngines {
    list: mpsc::Sender<Vec<EngineRecord>>,
    pub address: SocketAddr,
    queries: mpsc::Receiver<usize>,
}

impl ListedEngines {
    pub fn start(list: Vec<EngineRecord>) -> ListedEngines {
        let (sender, lists) = mpsc::channel::<Vec<EngineRecord>>();
        let state = Mutex::new((1, list, lists));
        let (address, queries) = name_service(move |_, id| {
            let mut state = state.lock().unwrap();
            while let Ok(newer) = state.2.try_recv() {
                state.0 += 1;
                state.1 = newer;
            }
            vec![records_answer(id, state.0, &state.1)]
        });
        ListedEngines { list: sender, address, queries }
    }

    /// Changes the list; the serial is one later.
    pub fn tell(&self, list: Vec<EngineRecord>) {
        self.list.send(list).unwrap();
    }

    /// Waits until the list was asked for once more after it was taken in: a query follows the answer before.
    pub fn wait_until_read(&self) {
        self.queries.try_iter().for_each(drop);
        for _ in 0..2 {
            self.queries.recv_timeout(TEST_TIMEOUT).unwrap();
        }
    }
}
