//! Health gossip among several gateway processes: a silent engine gets few attempts and is used again soon
//! after it recovers, and one gateway that sends false reports ejects no engine for the others.

use bramblewharf_rig::relay::StreamState;
use bramblewharf_rig::world::{Clients, FleetSpec, World};
use bramblewharf_turns::{EngineHash, GossipMessage, Observation};
use std::net::UdpSocket;
use std::path::Path;
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);

fn world(peers: bool) -> World {
    let spec = FleetSpec {
        gateways: 8,
        engines: 4,
        whole: 200,
        peers,
        statement_time: 30 * MS,
        ..FleetSpec::default()
    };
    let mut world = World::new(spec, Path::new(env!("CARGO_BIN_EXE_bramblewharf-rig"))).unwrap();
    world.start_all().unwrap();
    world
}

fn crowd(world: &World) -> Vec<Clients> {
    (0..world.spec.gateways).map(|at| world.clients(at, 2, 100 * MS)).collect()
}

fn completed(clients: &[Clients]) -> u64 {
    clients.iter().map(|clients| clients.counts.completed()).sum()
}

/// Number of connections to a silent engine within four seconds; the other engines must carry on meanwhile.
fn lost_to_a_silent_engine(peers: bool) -> u64 {
    let world = world(peers);
    let clients = crowd(&world);
    world.wait_until("statements everywhere", |_| clients.iter().all(|c| c.counts.completed() > 5));
    world.set_streams_to_engine(0, StreamState::Stalled);
    std::thread::sleep(500 * MS);
    let before = (world.connections_to(0), completed(&clients));
    std::thread::sleep(4000 * MS);
    let lost = world.connections_to(0) - before.0;
    assert!(
        completed(&clients) - before.1 > 400,
        "the other engines carry on: {}",
        completed(&clients) - before.1
    );
    // Once it recovers, all gateways use it again within seconds.
    world.set_streams_to_engine(0, StreamState::Open);
    let ran = world.engines[0].executions().len();
    world.wait_until("it is used again", |world| world.engines[0].executions().len() > ran + 40);
    lost
}

#[test]
fn a_silent_engine_gets_few_attempts_with_gossip() {
    let (without_gossip, with_gossip) = (lost_to_a_silent_engine(false), lost_to_a_silent_engine(true));
    println!("connections: {with_gossip} with gossip, {without_gossip} without");
    assert!(
        with_gossip * 4 < without_gossip * 3,
        "{with_gossip} connections with gossip, {without_gossip} without"
    );
}

#[test]
fn false_reports_of_one_gateway_eject_no_engine_for_the_others() {
    let world = world(true);
    let liar = UdpSocket::bind(world.test_peer).unwrap();
    let clients = crowd(&world);
    world.wait_until("statements everywhere", |_| clients.iter().all(|c| c.counts.completed() > 5));
    let ran: Vec<usize> = world.engines.iter().map(|engine| engine.executions().len()).collect();
    let before = completed(&clients);
    std::thread::sleep(2000 * MS);
    let usual = completed(&clients) - before;
    for _ in 0..200 {
        for (engine, zone) in (0..world.spec.engines).flat_map(|engine| [(engine, 1), (engine, 2)]) {
            let words = vec![Observation::Unhealthy {
                engine: EngineHash::of(&format!("e-{engine}")),
                age: Duration::ZERO,
            }];
            let said = GossipMessage { zone, observations: words }.encode();
            world.peer_addresses().for_each(|peer| drop(liar.send_to(&said, peer)));
        }
        std::thread::sleep(10 * MS);
    }
    let during = completed(&clients) - before - usual;
    for (engine, before) in world.engines.iter().zip(ran) {
        assert!(engine.executions().len() > before + 20, "false reports ejected an engine");
    }
    println!("completed: {during} beside the liar, {usual} before");
    assert!(during * 4 > usual * 3, "{during} completed beside the liar, {usual} before");
}
