//! Parses the list of engines in an answer of the name service.

use super::EngineSnapshot;
use crate::reducer::ListedEngine;
use bramblewharf::interface::{EngineEntry, EngineState, ProcessStart};
use hickory_proto::op::{Message, ResponseCode};
use hickory_proto::rr::{Name, RData};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Returns the list, or none where the answer is a failure or incomplete.
pub fn read_answer(answer: &Message, service: &Name) -> Option<EngineSnapshot> {
    if answer.metadata.response_code != ResponseCode::NoError || answer.metadata.truncation {
        return None;
    }
    let serial = answer.authorities.iter().find_map(|record| match &record.data {
        RData::SOA(soa) => Some(soa.serial),
        _ => None,
    })?;
    let records = || answer.answers.iter().chain(&answer.additionals);
    let mut engines = Vec::new();
    for record in answer.answers.iter().filter(|record| record.name == *service) {
        let RData::SRV(srv) = &record.data else { continue };
        let mut labels = srv.target.iter().map(|label| String::from_utf8_lossy(label).into_owned());
        let (id, zone) = (labels.next()?, labels.next()?);
        let target_records = || records().filter(|record| record.name == srv.target);
        let ip = target_records().find_map(|record| record.data.ip_addr())?;
        let mut texts = BTreeMap::new();
        for record in target_records() {
            let RData::TXT(txt) = &record.data else { continue };
            for text in txt.txt_data.iter() {
                if let Some((key, value)) = String::from_utf8_lossy(text).split_once('=') {
                    texts.insert(key.to_string(), value.to_string());
                }
            }
        }
        // Placement and slow start depend on these fields: an entry without them makes the list unusable.
        let value = |key: &str| texts.get(key).map(String::as_str);
        let entry = EngineEntry {
            id: id.into(),
            zone: zone.into(),
            kind: value("kind")?.into(),
            cell: value("cell")?.parse().ok()?,
            state: if srv.priority == 0 { EngineState::In } else { EngineState::Draining },
            nominal: f64::from(srv.weight) / 10.0,
            started: ProcessStart::by_foreign_clock(value("started")?.parse().ok()?),
        };
        engines.push(ListedEngine { entry, address: SocketAddr::new(ip, srv.port) });
    }
    Some(EngineSnapshot { serial: u64::from(serial), engines })
}
