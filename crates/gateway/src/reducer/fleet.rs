//! The reducer's part in a fleet: its budgets, its policy, and what processes before it may have out.

use super::io::{Cancel, Effect};
use super::Reducer;
use crate::policy::{Names, PolicyAdmissionCheck};
use crate::predecessor_check::PredecessorCheck;
use crate::unsettled::Unsettled;
use bramblewharf::interface::{Event, Id};
use bramblewharf_budgets::{AdmissionCheck, Demand};
use bramblewharf_fleet::node::{self, Node, Remains};
use bramblewharf_fleet::outstanding::{Outstanding, Slots};
use bramblewharf_fleet::predecessor::Predecessor;
use bramblewharf_fleet::wire::{Message, Party};
use bramblewharf_policy as policy;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// How long the keeper's word of the process before is waited for until engines are asked instead.
const KEEPER_FIRST: Duration = Duration::from_millis(250);

/// A gateway's part in its fleet, after whatever process had its place before.
pub struct Part {
    pub start: node::Start,
    pub predecessor: Predecessor,
    /// The record of what is out, where one is kept.
    pub slots: Option<Slots>,
}

impl From<node::Start> for Part {
    fn from(start: node::Start) -> Part {
        Part { start, predecessor: Predecessor::Ended, slots: None }
    }
}

/// The fleet's policy: its machine, and what was last told of what it permits.
pub(super) struct Policy {
    pub(super) node: policy::Node,
    pub(super) names: Arc<Names>,
    pub(super) permit: policy::Permit,
}

impl Reducer {
    /// Takes its part in the fleet, with what a process before it may have out.
    pub(super) fn join(&mut self, now: Duration, part: Part) {
        let Part { start, predecessor, slots } = part;
        self.predecessor_check = match predecessor {
            Predecessor::Ended => None,
            Predecessor::Unknown => Some(PredecessorCheck::start(now)),
            Predecessor::Recorded(_) => Some(PredecessorCheck::start(now + KEEPER_FIRST)),
        };
        let (node, inherited) = Node::start_after(start, predecessor, now);
        self.unsettled = Unsettled::with_record(slots);
        let writes = self.unsettled.first_writes(&inherited);
        self.effects.extend(writes.into_iter().map(Effect::Record));
        let cancel = Cancel { arrived: false, within: node.max_unconfirmed_time(), awaited: true };
        for (Outstanding { id, execution, engine: address, .. }, name) in inherited {
            let id = Id::from(id);
            let engine = Id::from(address.to_string());
            self.unsettled.inherit(id.clone(), execution, name);
            self.effects.push(Effect::Stop { id, execution, engine, address, cancel });
        }
        self.fleet = Some(Box::new(node));
        self.room_changed = true;
    }

    /// Gives the fleet's machine its time, and the decisions what is left now where that has changed.
    pub(super) fn look_at_fleet(&mut self, now: Duration) {
        let Some(node) = &mut self.fleet else { return };
        if self.fleet_due.is_none_or(|due| now >= due) {
            let said = node.tick(now);
            self.carry_on(now, said);
            self.tick_policy(now);
            self.look_at_unsettled(now);
        }
        self.tell_room(now);
    }

    /// What can't run any more is dropped, and engines are heard while it is not known what a process before may have out.
    pub(super) fn look_at_unsettled(&mut self, now: Duration) {
        let Some(node) = &self.fleet else { return };
        self.effects.extend(self.unsettled.look(node).into_iter().map(Effect::Record));
        if node.counts_everything() {
            self.predecessor_check = None;
        }
        let (within, name) =
            (node.max_unconfirmed_time(), Id::from(format!("{:016x}", node.incarnation().0)));
        let next = self.predecessor_check.as_mut().map(|check| check.next_probes(now)).unwrap_or_default();
        let hear = |address| Effect::Hear { address, name: name.clone(), within };
        self.effects.extend(next.into_iter().map(hear));
    }

    pub(super) fn engine_heard(&mut self, now: Duration, has_read: bool) {
        let (Some(check), Some(node)) = (&mut self.predecessor_check, &mut self.fleet) else { return };
        check.probe_ended(has_read);
        if check.is_complete() {
            self.predecessor_check = None;
            node.engines_confirmed(now);
            // The floors are there sooner.
            self.room_changed = true;
            self.tell_room(now);
        }
        self.look_at_unsettled(now);
    }

    pub(super) fn tick_policy(&mut self, now: Duration) {
        let (Some(policy), Some(node)) = (&mut self.policy, &self.fleet) else { return };
        if now >= policy.node.due(now) {
            let said = policy.node.tick(now, node.leader_lease(now));
            self.carry_policy(now, said);
        }
    }

    pub(super) fn heard_of_policy(&mut self, now: Duration, party: Party, bytes: &[u8], from: SocketAddr) {
        let (Some(policy), Some(node)) = (&mut self.policy, &self.fleet) else { return };
        let Some(message) = policy::PolicyMessage::read(bytes) else { return };
        let (to, place) = match party {
            Party::Voter(seat) => (node::Recipient::Voter(seat), None),
            Party::Member(place) => (node::Recipient::Address(from), Some(place)),
            Party::Tool => (node::Recipient::Address(from), None),
        };
        let said = policy.node.handle_message(now, to, place, message, node.leader_lease(now));
        self.carry_policy(now, said);
    }

    pub(super) fn carry_policy(&mut self, now: Duration, effects: Vec<policy::Effect>) {
        let (Some(policy), Some(node)) = (&mut self.policy, &mut self.fleet) else { return };
        for effect in effects {
            match effect {
                policy::Effect::Send { to, message } => {
                    let as_place = matches!(message, policy::PolicyMessage::GrantRequest(_));
                    let envelope = node.wrap_message(Message::Policy(message.write()), as_place);
                    self.effects.push(Effect::Say { to, envelope });
                }
                policy::Effect::Store { generation, bytes } => {
                    self.effects.push(Effect::Keep { generation, bytes })
                }
                policy::Effect::PermitChanged => {}
            }
        }
        let permit = policy.node.permit(now);
        if permit != policy.permit {
            policy.permit = permit;
            self.room_changed = true;
        }
        self.tell_room(now);
    }

    pub(super) fn carry_on(&mut self, now: Duration, effects: Vec<node::Effect>) {
        for effect in effects {
            match effect {
                node::Effect::Send { to, envelope } => self.effects.push(Effect::Say { to, envelope }),
                node::Effect::HeadroomChanged => self.room_changed = true,
            }
        }
        self.tell_room(now);
    }

    pub(super) fn tell_room(&mut self, now: Duration) {
        let Some(node) = &mut self.fleet else { return };
        if self.room_changed || self.room_due.is_some_and(|due| now >= due) {
            self.room_changed = false;
            // Before whatever else there is news of: nothing is decided by what was left before.
            let permitted = self.policy.as_ref().map(|policy| {
                let (permit, names) = (policy.permit.clone(), policy.names.clone());
                Arc::new(PolicyAdmissionCheck { permit, names }) as Arc<dyn AdmissionCheck>
            });
            self.news.push_front(Event::BudgetHeadroom(node.headroom(now).with_check(permitted)));
            self.room_due = node.headroom_due(now);
        }
        let policy = self.policy.as_ref().map(|policy| policy.node.due(now));
        self.fleet_due = policy.into_iter().chain([node.due(now)]).min();
    }

    pub(super) fn cancel_unheard(&self, id: &Id, execution: usize) -> Option<Cancel> {
        let node = self.fleet.as_ref()?;
        self.unsettled.contains(id, execution).then(|| Cancel {
            arrived: false,
            within: node.max_unconfirmed_time(),
            awaited: true,
        })
    }

    pub(super) fn settle_unheard(&mut self, now: Duration, id: &Id, execution: usize, remains: Remains) {
        let Some(node) = &mut self.fleet else { return };
        let Some(write) = self.unsettled.settle(now, node, (id, execution), remains) else { return };
        self.effects.extend(write.map(Effect::Record));
        self.room_changed = true;
        self.tell_room(now);
    }

    /// What was rejected for want of leave is a need to be told.
    pub(super) fn was_refused(&mut self, now: Duration, id: &Id) {
        let (Some(node), Some(stmt)) = (&mut self.fleet, self.stmts.get(id)) else { return };
        let (workload, customer, mem_mb) = stmt.counts_as;
        let weight = self.threads.get(workload).copied().unwrap_or(1.0);
        let previous_executions = stmt.executions.len() as u32;
        node.statement_refused(
            now,
            &Demand { workload, customer, kind: "", weight, mem_mb, previous_executions },
        );
        self.fleet_due = Some(node.due(now));
    }
}
