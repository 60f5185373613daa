//! Messages between gateways: datagrams, which may be late, lost or forged.

use crate::config::Peers as Addresses;
use bramblewharf::interface::{Event, GossipMessage};
use bramblewharf_site::message;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use tokio::net::UdpSocket;

/// The longest datagram that another gateway may send.
pub const LONGEST: usize = 256;

pub struct Peers {
    socket: UdpSocket,
    addresses: RefCell<Addresses>,
    own: usize,
    /// Datagrams of strangers, too long or not readable, since the start.
    passed_over: Cell<u64>,
}

impl Peers {
    pub async fn bind(addresses: Addresses, own: usize) -> io::Result<Peers> {
        let socket = UdpSocket::bind(addresses.listen).await?;
        Ok(Peers { socket, addresses: RefCell::new(addresses), own, passed_over: Cell::new(0) })
    }

    /// Other gateways are at these addresses from now on; our own stays.
    pub fn turn_to(&self, addresses: Addresses) {
        self.addresses.replace(addresses);
    }

    /// Sends at once or not at all: what is told of loads is soon told again.
    pub fn tell(&self, to: Option<u32>, said: &GossipMessage) {
        let addresses = self.addresses.borrow();
        let address = match to {
            None => addresses.all,
            Some(peer) if peer as usize == self.own => None,
            Some(peer) => addresses.each.get(peer as usize).copied(),
        };
        if let Some(address) = address {
            let _ = self.socket.try_send_to(&said.encode(), address);
        }
    }

    /// The next message of a gateway that we know; others are passed over.
    pub async fn hear(&self) -> Event {
        let mut bytes = [0; LONGEST + 1];
        loop {
            match self.socket.recv_from(&mut bytes).await {
                Ok((length, from)) => {
                    let number = self.number(from).filter(|_| length <= LONGEST);
                    match number.map(|number| message::read(number, &bytes[..length])) {
                        None | Some(Event::Unreadable) => self.passed_over.set(self.passed_over.get() + 1),
                        Some(event) => return event,
                    }
                }
                // A peer that is down makes its errors ours; none of them is worth a busy loop.
                Err(_) => actix_rt::time::sleep(std::time::Duration::from_millis(1)).await,
            }
        }
    }

    pub fn passed_over(&self) -> u64 {
        self.passed_over.get()
    }

    fn number(&self, from: SocketAddr) -> Option<u32> {
        let at = self.addresses.borrow().each.iter().position(|address| *address == from)?;
        (at != self.own).then_some(at as u32)
    }
}
