//! Gossip between gateways over UDP: datagrams may be late, lost or forged.

use crate::config::Peers as Addresses;
use bramblewharf::interface::{Event, GossipMessage};
use bramblewharf_site::message;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use tokio::net::UdpSocket;

/// The longest accepted datagram of another gateway.
pub const MAX_GOSSIP_BYTES: usize = 256;

/// The socket for gossip with the other gateways.
pub struct PeerSocket {
    socket: UdpSocket,
    addresses: RefCell<Addresses>,
    own_index: usize,
    /// Ignored datagrams since the start: unknown sender, too long, or unreadable.
    ignored_datagrams: Cell<u64>,
}

impl PeerSocket {
    /// Binds the socket; `own_index` is the number of this gateway.
    pub async fn bind(addresses: Addresses, own_index: usize) -> io::Result<PeerSocket> {
        let socket = UdpSocket::bind(addresses.listen).await?;
        Ok(PeerSocket {
            socket,
            addresses: RefCell::new(addresses),
            own_index,
            ignored_datagrams: Cell::new(0),
        })
    }

    /// Replaces the addresses of the other gateways; our own socket stays.
    pub fn set_addresses(&self, addresses: Addresses) {
        self.addresses.replace(addresses);
    }

    /// Sends without waiting, or drops the message: load gossip is soon repeated.
    pub fn send(&self, to: Option<u32>, message: &GossipMessage) {
        let addresses = self.addresses.borrow();
        let address = match to {
            None => addresses.all,
            Some(peer) if peer as usize == self.own_index => None,
            Some(peer) => addresses.each.get(peer as usize).copied(),
        };
        if let Some(address) = address {
            let _ = self.socket.try_send_to(&message.encode(), address);
        }
    }

    /// Receives the next message of a known gateway; other datagrams are ignored.
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
                // Errors of a peer that is down (ICMP) surface on our socket; the pause avoids a busy loop.
                Err(_) => actix_rt::time::sleep(std::time::Duration::from_millis(1)).await,
            }
        }
    }

    /// Ignored datagrams since the start.
    pub fn ignored_datagrams(&self) -> u64 {
        self.ignored_datagrams.get()
    }

    fn peer_number(&self, from: SocketAddr) -> Option<u32> {
        let at = self.addresses.borrow().each.iter().position(|address| *address == from)?;
        (at != self.own_index).then_some(at as u32)
    }
}
