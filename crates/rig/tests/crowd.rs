//! More active clients than a gateway accepts connections.

use bramblewharf_rig::soak::Fleet;
use std::path::Path;
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);
/// One and a half times the client connections that the limits of the rig's gateways allow.
const CLIENTS: usize = 300;

/// Guards against connections that are accepted only after their requests' deadlines because no open
/// connection is closed.
#[test]
fn who_waits_for_a_connection_gets_one_in_time() {
    let program = Path::new(env!("CARGO_BIN_EXE_bramblewharf-rig"));
    let mut fleet = Fleet::start(1, 4, 1, program).unwrap();
    let clients = vec![fleet.clients(0, CLIENTS, 20 * MS)];
    fleet.run(3000 * MS).unwrap();
    let records = fleet.finish(clients).unwrap();
    let found: Vec<String> = records.judge().iter().map(ToString::to_string).collect();
    assert!(found.is_empty(), "{} of them: {:#?}", found.len(), &found[..found.len().min(5)]);
}
