//! Messages between gateways: datagrams, which may be late, lost or forged.

use crate::config::Peers as Addresses;
use bramblewharf::interface::{Event, GossipMessage};
use bramblewharf_site::message;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use tokio::net::UdpSocket;

/// The longest datagram that another gateway may send.
pub const MAX_GOSSIP_BYTES: usize = 256;

pub struct PeerSocket {
    socket: UdpSocket,
    addresses: RefCell<Addresses>,
    own: usize,
    /// Datagrams of strangers, too long or not readable, since the start.
    ignored_datagrams: Cell<u64>,
}

impl PeerSocket {
    pub async fn bind(addresses: Addresses, own: usize) -> io::Result<PeerSocket> {
        let socket = UdpSocket::bind(addresses.listen).await?;
        Ok(PeerSocket { socket, addresses: RefCell::new(addresses), own, ignored_datagrams: Cell::new(0) })
    }

    /// Other gateways are at these addresses from now on; our own stays.
    pub fn set_addresses(&self, addresses: Addresses) {
        self.addresses.replace(addresses);
    }

    /// Sends at once or not at all: what is told of loads is soon told again.
    pub fn send(&self, to: Option<u32>, message: &GossipMessage) {
        let addresses = self.addresses.borrow();
        let address = match to {
            None => addresses.all,
            Some(peer) if peer as usize == self.own => None,
            Some(peer) => addresses.each.get(peer as usize).copied(),
        };
        if let Some(address) = address {
            let _ = self.socket.try_send_to(&message.encode(), address);
        }
    }

    /// The next message of a gateway that we know; others are passed over.
    pub async fn receive(&self) -> Event {
        let mut bytes = [0; MAX_GOSSIP_BYTES + 1];
        loop {
            match self.socket.recv_from(&mut bytes).await {
                Ok((length, from)) => {
                    let number = self.peer_number(from).filter(|_| length <= MAX_GOSSIP_BYTES);
                    match number.map(|number| message::read(number, &bytes[..length])) {
                        None | Some(Event::Unreadable) => {
                            self.ignored_datagrams.set(self.ignored_datagrams.get() + 1)
                        }
                        Some(event) => return event,
                    }
                }
                // A peer that is down makes its errors ours; none of them is worth a busy loop.
                Err(_) => actix_rt::time::sleep(std::time::Duration::from_millis(1)).await,
            }
        }
    }

    pub fn ignored_datagrams(&self) -> u64 {
        self.ignored_datagrams.get()
    }

    fn peer_number(&self, from: SocketAddr) -> Option<u32> {
        let at = self.addresses.borrow().each.iter().position(|address| *address == from)?;
        (at != self.own).then_some(at as u32)
    }
}
