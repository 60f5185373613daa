//! Fleets at the operators' size: what a gateway, its engines and its fleet spend there. Each part is a measurement of its own, seeded,
//! bounded in time, and refused before anything is started where this machine has no room for it.

pub mod control;
pub mod decide;
pub mod hollow;
pub mod report;
pub mod room;
pub mod sockets;

use clap::Subcommand;

#[derive(Subcommand)]
pub enum Scale {
    /// One gateway's decisions, in virtual time: engines looked at, allocations and processor time a statement, at rest, by size.
    Decide(decide::Args),
    /// Hollow gateways, their clock real and their datagrams on loopback, many to a process, a few real processes among them.
    Hollow(hollow::Args),
    /// Real processes of the program before stand-in engines at thousands of loopback addresses: connections, handshakes, memory.
    Sockets(sockets::Args),
    /// What a fleet agrees on, in virtual time: keeper, seats, policy, by size and by event.
    Control(control::Args),
}

/// Runs one, and prints what it gives.
pub fn run(scale: &Scale) -> Result<(), String> {
    let (json, tables) = match scale {
        Scale::Decide(args) => (args.json, decide::run(args)?),
        Scale::Hollow(args) => (args.json, hollow::run(args)?),
        Scale::Sockets(args) => (args.json, sockets::run(args)?),
        Scale::Control(args) => (args.json, control::run(args)?),
    };
    println!("{}", report::show(&tables, json));
    Ok(())
}
