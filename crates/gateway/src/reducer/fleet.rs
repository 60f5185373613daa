//! The reducer's side of a fleet: budgets, policy, and executions that previous processes may have in flight.

use super::io::{Cancel, Destination, Effect};
use super::Reducer;
use crate::orphans::OrphanTracker;
use crate::policy::{Names, PolicyAdmissionCheck};
use crate::predecessor_check::PredecessorCheck;
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

/// How long to wait for the leader's report on the previous process before engines are probed instead.
const LEADER_REPLY_WAIT: Duration = Duration::from_millis(250);

/// A gateway's membership in its fleet, which it takes over from the previous process with the same member
/// id.
pub struct FleetMembership {
    pub start: node::Start,
    pub predecessor: Predecessor,
    /// The record of outstanding executions, if one is kept.
    pub slots: Option<Slots>,
}

impl From<node::Start> for FleetMembership {
    fn from(start: node::Start) -> FleetMembership {
        FleetMembership { start, predecessor: Predecessor::Ended, slots: None }
    }
}

/// The fleet's policy: its state machine, and the permit that the scheduler was last given.
pub(super) struct Policy {
    pub(super) node: policy::Node,
    pub(super) names: Arc<Names>,
    pub(super) permit: policy::Permit,
}

impl Reducer {
    /// Joins the fleet, and cancels the executions that the previous process may have in flight.
    pub(super) fn join_fleet(&mut self, now: Duration, membership: FleetMembership) {
        let FleetMembership { start, predecessor, slots } = membership;
        self.predecessor_check = match predecessor {
            Predecessor::Ended => None,
            Predecessor::Unknown => Some(PredecessorCheck::start(now)),
            Predecessor::Recorded(_) => Some(PredecessorCheck::start(now + LEADER_REPLY_WAIT)),
        };
        let (node, inherited) = Node::start_after(start, predecessor, now);
        self.orphans = OrphanTracker::with_record(slots);
        let writes = self.orphans.initial_writes(&inherited);
        self.effects.extend(writes.into_iter().map(Effect::RecordOutstanding));
        let cancel = Cancel { arrived: false, within: node.max_unconfirmed_time(), awaited: true };
        for (Outstanding { id, execution, engine: address, .. }, orphan_id) in inherited {
            let id = Id::from(id);
            self.orphans.inherit(id.clone(), execution, orphan_id);
            let destination = Destination::at(address);
            self.effects.push(Effect::Stop { id, execution, destination, cancel });
        }
        self.fleet = Some(Box::new(node));
        self.headroom_changed = true;
    }

    /// Advances the state machines of the fleet and its policy when due, and publishes the headroom if it has
    /// changed.
    pub(super) fn tick_fleet(&mut self, now: Duration) {
        let Some(node) = &mut self.fleet else { return };
        if self.next_fleet_tick.is_none_or(|due| now >= due) {
            let effects = node.tick(now);
            self.apply_fleet_effects(now, effects);
            self.tick_policy(now);
            self.update_orphans(now);
        }
        self.publish_headroom(now);
    }

    /// Drops orphans that can't run any more, and probes engines while it is unknown what the previous
    /// process has in flight.
    pub(super) fn update_orphans(&mut self, now: Duration) {
        let Some(node) = &self.fleet else { return };
        self.effects.extend(self.orphans.remove_expired(node).into_iter().map(Effect::RecordOutstanding));
        if node.counts_everything() {
            self.predecessor_check = None;
        }
        let (within, probe_id) =
            (node.max_unconfirmed_time(), Id::from(format!("{:016x}", node.incarnation().0)));
        let next = self.predecessor_check.as_mut().map(|check| check.next_probes(now)).unwrap_or_default();
        let probe = |address| Effect::ProbeEngine { address, probe_id: probe_id.clone(), within };
        self.effects.extend(next.into_iter().map(probe));
    }

    /// Records the result of a probe; once all engines have confirmed, the budgets' floors are usable.
    pub(super) fn engine_probed(&mut self, now: Duration, has_read: bool) {
        let (Some(check), Some(node)) = (&mut self.predecessor_check, &mut self.fleet) else { return };
        check.probe_ended(has_read);
        if check.is_complete() {
            self.predecessor_check = None;
            node.engines_confirmed(now);
            // The floors become usable earlier than without the probes.
            self.headroom_changed = true;
            self.publish_headroom(now);
        }
        self.update_orphans(now);
    }

    /// Advances the policy's state machine when due.
    pub(super) fn tick_policy(&mut self, now: Duration) {
        let (Some(policy), Some(node)) = (&mut self.policy, &self.fleet) else { return };
        if now >= policy.node.due(now) {
            let effects = policy.node.tick(now, node.leader_lease(now));
            self.apply_policy_effects(now, effects);
        }
    }

    /// Handles a message of the policy's protocol.
    pub(super) fn handle_policy_message(
        &mut self,
        now: Duration,
        party: Party,
        bytes: &[u8],
        from: SocketAddr,
    ) {
        let (Some(policy), Some(node)) = (&mut self.policy, &self.fleet) else { return };
        let Some(message) = policy::PolicyMessage::read(bytes) else { return };
        let (to, member_id) = match party {
            Party::Voter(voter) => (node::Recipient::Voter(voter), None),
            Party::Member(member_id) => (node::Recipient::Address(from), Some(member_id)),
            Party::Tool => (node::Recipient::Address(from), None),
        };
        let effects = policy.node.handle_message(now, to, member_id, message, node.leader_lease(now));
        self.apply_policy_effects(now, effects);
    }

    /// Carries out what the policy's state machine asks for, and publishes a changed permit.
    pub(super) fn apply_policy_effects(&mut self, now: Duration, effects: Vec<policy::Effect>) {
        let (Some(policy), Some(node)) = (&mut self.policy, &mut self.fleet) else { return };
        for effect in effects {
            match effect {
                policy::Effect::Send { to, message } => {
                    let as_member = matches!(message, policy::PolicyMessage::GrantRequest(_));
                    let envelope = node.wrap_message(Message::Policy(message.write()), as_member);
                    self.effects.push(Effect::SendToFleet { to, envelope });
                }
                policy::Effect::Store { generation, bytes } => {
                    self.effects.push(Effect::StorePolicy { generation, bytes })
                }
                policy::Effect::PermitChanged => {}
            }
        }
        let permit = policy.node.permit(now);
        if permit != policy.permit {
            policy.permit = permit;
            self.headroom_changed = true;
        }
        self.publish_headroom(now);
    }

    /// Carries out what the fleet's state machine asks for.
    pub(super) fn apply_fleet_effects(&mut self, now: Duration, effects: Vec<node::Effect>) {
        for effect in effects {
            match effect {
                node::Effect::Send { to, envelope } => {
                    self.effects.push(Effect::SendToFleet { to, envelope })
                }
                node::Effect::HeadroomChanged => self.headroom_changed = true,
            }
        }
        self.publish_headroom(now);
    }

    /// Notifies the scheduler of the budgets' headroom if it has changed or may have, and plans the next
    /// tick.
    pub(super) fn publish_headroom(&mut self, now: Duration) {
        let Some(node) = &mut self.fleet else { return };
        if self.headroom_changed || self.next_headroom_update.is_some_and(|due| now >= due) {
            self.headroom_changed = false;
            // Goes before all pending events, so that none of them is decided by outdated headroom.
            let permitted = self.policy.as_ref().map(|policy| {
                let (permit, names) = (policy.permit.clone(), policy.names.clone());
                Arc::new(PolicyAdmissionCheck { permit, names }) as Arc<dyn AdmissionCheck>
            });
            self.events.push_front(Event::BudgetHeadroom(node.headroom(now).with_check(permitted)));
            self.next_headroom_update = node.headroom_due(now);
        }
        let policy = self.policy.as_ref().map(|policy| policy.node.due(now));
        self.next_fleet_tick = policy.into_iter().chain([node.due(now)]).min();
    }

    /// The cancel for an execution that has ended here but still counts against budgets, if it does.
    pub(super) fn cancel_unconfirmed(&self, id: &Id, execution: usize) -> Option<Cancel> {
        let node = self.fleet.as_ref()?;
        self.orphans.contains(id, execution).then(|| Cancel {
            arrived: false,
            within: node.max_unconfirmed_time(),
            awaited: true,
        })
    }

    /// Applies what has become known of an execution that ended here before.
    pub(super) fn settle_orphan(&mut self, now: Duration, id: &Id, execution: usize, remains: Remains) {
        let Some(node) = &mut self.fleet else { return };
        let Some(write) = self.orphans.settle(now, node, (id, execution), remains) else { return };
        self.effects.extend(write.map(Effect::RecordOutstanding));
        self.headroom_changed = true;
        self.publish_headroom(now);
    }

    /// Reports the demand of a statement that was rejected for lack of budget, so that the fleet can grant
    /// more.
    pub(super) fn report_refusal(&mut self, now: Duration, id: &Id) {
        let (Some(node), Some(stmt)) = (&mut self.fleet, self.statements.get(id)) else { return };
        let (workload, customer, mem_mb) = stmt.budget_key;
        let weight = self.workload_threads.get(workload).copied().unwrap_or(1.0);
        let previous_executions = stmt.executions.len() as u32;
        node.statement_refused(
            now,
            &Demand { workload, customer, kind: "", weight, mem_mb, previous_executions },
        );
        self.next_fleet_tick = Some(node.due(now));
    }
}
