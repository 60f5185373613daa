//! One gateway's part in its fleet: a holder always, a seat where it has one, the keeper while its seat has the right to be it.

use crate::holder::{self, Holder};
use crate::keeper::{self, Keeper, Member};
use crate::outstanding::Outstanding;
use crate::predecessor::{Predecessor, Succession};
use crate::seat::{Right, Say, Seat};
use crate::wire::{Envelope, Message, Party};
use crate::{Incarnation, Terms, Wrong};
use bramblewharf_budgets::usage::{BudgetStatus, Charges, OrphanId};
use bramblewharf_budgets::{Budget, Demand, Headroom, Usage};
use std::net::SocketAddr;
use std::time::Duration;

/// How often it must be called at the least: patient clocks stand still beyond this.
const EVERY: Duration = Duration::from_millis(100);

/// What may be left at its engine of an execution that has ended here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Remains {
    Nothing,
    /// It had reached the engine, where it ends as nobody asks for it.
    UntilForgotten,
    /// Nothing shows that it has ended, nor even that it has been read: it may yet begin.
    Unheard,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum To {
    Seat(u8),
    /// Whoever is there: an answer goes where the question came from.
    Address(SocketAddr),
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    Say {
        to: To,
        envelope: Envelope,
    },
    /// What is left of the parts has changed: see `room`.
    Room,
}

/// All that a gateway is told of its place in the fleet.
#[derive(Clone, Debug)]
pub struct Start {
    pub place: u32,
    pub seat: Option<u8>,
    pub incarnation: Incarnation,
    pub terms: Terms,
    pub budgets: Vec<Budget>,
    /// Of the table of budgets as it is written.
    pub table: u64,
    pub seed: u64,
}

/// For whoever looks on.
#[derive(Clone, Debug)]
pub struct Status {
    pub place: u32,
    pub incarnation: Incarnation,
    /// The seat asked last, and whether its leave is in force.
    pub asks: u8,
    pub has_leave: bool,
    pub members: Option<u32>,
    pub holder: holder::Counts,
    pub budgets: Vec<BudgetStatus>,
    pub seat: Option<SeatStatus>,
    pub keeper: Option<KeeperStatus>,
    pub passed_over: u64,
}

#[derive(Clone, Debug)]
pub struct SeatStatus {
    pub seat: u8,
    pub votes: bool,
    /// The keeper that it has agreed to.
    pub keeper: Option<u8>,
    pub bids: u64,
}

#[derive(Clone, Debug)]
pub struct KeeperStatus {
    pub waits_out: bool,
    pub members: Vec<Member>,
    /// By budget: given to members, and perhaps in use yet of processes that are no more.
    pub totals: Vec<(u64, u64)>,
    pub counts: keeper::Counts,
}

pub struct Node {
    start: Start,
    usage: Usage,
    holder: Holder,
    seat: Option<Seat>,
    keeper: Option<Keeper>,
    succession: Succession,
    said: u64,
    keepers: u64,
    /// Messages that say nothing to us.
    passed_over: u64,
    leaving: bool,
    ticked: Duration,
}

impl Node {
    /// After a process whose engines have read all that it sent.
    pub fn start(start: Start, now: Duration) -> Node {
        Node::start_after(start, Predecessor::Ended, now).0
    }

    /// With what is known of the process before, and the names of what it had out, which counts as in use until settled.
    pub fn start_after(
        start: Start,
        predecessor: Predecessor,
        now: Duration,
    ) -> (Node, Vec<(Outstanding, OrphanId)>) {
        let terms = start.terms.clone();
        let mistaken = terms.is_wrong(Wrong::SettledUnheard) || terms.is_wrong(Wrong::FreeAtTheKill);
        let predecessor = if mistaken { Predecessor::Ended } else { predecessor };
        let floor_after = match predecessor {
            _ if terms.is_wrong(Wrong::FreeAtTheKill) => Duration::ZERO,
            Predecessor::Ended => terms.ghost(),
            Predecessor::Unknown | Predecessor::Recorded(_) => terms.unheard(),
        };
        let mut usage = Usage::new(start.budgets.clone(), terms.places, floor_after, now);
        let outstanding = match &predecessor {
            Predecessor::Recorded(record) => record.outstanding.clone(),
            Predecessor::Ended | Predecessor::Unknown => Vec::new(),
        };
        let mut inherit = |outstanding: Outstanding| {
            let name = usage.inherit(now, outstanding.took.clone(), terms.unheard())?;
            Some((outstanding, name))
        };
        let inherited = outstanding.into_iter().filter_map(&mut inherit).collect();
        let seat =
            start.seat.map(|own| Seat::start(own, start.incarnation, terms.clone(), start.seed ^ 1, now));
        let holder = Holder::start(terms, start.table, start.seed ^ 2, now);
        let node = Node {
            start,
            usage,
            holder,
            seat,
            keeper: None,
            succession: Succession::start(predecessor),
            said: 0,
            keepers: 0,
            passed_over: 0,
            leaving: false,
            ticked: now,
        };
        (node, inherited)
    }

    /// Every engine that a process before this one may have sent to has read what it sent, or is gone.
    pub fn engines_heard(&mut self, now: Duration) {
        self.usage.allow_floors_after(now, self.start.terms.ghost());
    }

    /// Whether all that may be out of this place is counted in use here.
    pub fn counts_all(&self) -> bool {
        self.succession.is_complete()
    }

    /// When it wants to be called again.
    pub fn due(&self, now: Duration) -> Duration {
        if now < self.ticked {
            return now;
        }
        // From its last tick, not from now: however often it is asked, it must not be put off.
        let own = self.holder.due().max(now + Duration::from_millis(1)).min(self.ticked + EVERY);
        self.usage.due(now).map_or(own, |due| due.min(own))
    }

    pub fn tick(&mut self, now: Duration) -> Vec<Effect> {
        self.ticked = now;
        let mut effects = Vec::new();
        if let Some(seat) = &mut self.seat {
            let say = seat.tick(now);
            self.say_all(say, &mut effects);
        }
        self.keep(now);
        self.usage.tick(now);
        if self.usage.has_floors() {
            self.succession.completed();
        }
        if self.holder.look(now) {
            self.usage.drop_grants(now);
            effects.push(Effect::Room);
        }
        let usage = &mut self.usage;
        if let Some((seat, number, message)) = self.holder.tick(now, || (usage.held(now), usage.needs(now))) {
            self.ask_seat(now, seat, number, message, &mut effects);
        }
        effects
    }

    pub fn heard(&mut self, now: Duration, envelope: Envelope, from: SocketAddr) -> Vec<Effect> {
        let mut effects = Vec::new();
        match (envelope.from, envelope.message) {
            (
                Party::Seat(seat),
                message @ (Message::Prepare(_)
                | Message::Promise { .. }
                | Message::Propose(_)
                | Message::Accept(_)
                | Message::Refuse { .. }
                | Message::Release(_)),
            ) => match self
                .seat
                .as_mut()
                .filter(|_| Some(seat) != self.start.seat && seat < self.start.terms.seats)
            {
                Some(own) => {
                    let say = own.heard(now, seat, message);
                    self.say_all(say, &mut effects);
                    self.keep(now);
                }
                None => self.passed_over += 1,
            },
            (
                Party::Place(place),
                message @ (Message::Ask(_) | Message::Leaving { .. } | Message::Succeeds { .. }),
            ) => {
                let answer = self.asked(now, place, envelope.incarnation, envelope.number, message);
                if let Some(message) = answer {
                    let envelope = self.envelope(message);
                    effects.push(Effect::Say { to: To::Address(from), envelope });
                }
            }
            (Party::Seat(seat), message) => self.answered(now, seat, message, &mut effects),
            _ => self.passed_over += 1,
        }
        effects
    }

    /// The keeper is there as long as the right lasts, and by that right alone.
    fn keep(&mut self, now: Duration) {
        let right: Option<Right> = self.seat.as_ref().and_then(|seat| seat.right(now));
        if self.keeper.as_mut().is_some_and(|keeper| {
            let same = right.is_some_and(|right| right.term == keeper.term());
            !same || !keeper.tick(now)
        }) {
            self.keeper = None;
        }
        if let Some(right) = right.filter(|_| self.keeper.is_none()) {
            self.keepers += 1;
            let Start { terms, budgets, table, seed, .. } = self.start.clone();
            let seed = seed ^ (3 + self.keepers);
            self.keeper = Some(Keeper::start(right.term, terms, budgets, table, seed, now));
        }
    }

    /// A gateway's question, answered by the right as it is now.
    fn asked(
        &mut self,
        now: Duration,
        place: u32,
        from: Incarnation,
        number: u64,
        message: Message,
    ) -> Option<Message> {
        self.keep(now);
        let Some(seat) = &self.seat else {
            self.passed_over += 1;
            return None;
        };
        match (&mut self.keeper, message) {
            (Some(keeper), Message::Ask(ask)) => keeper.ask(place, from, number, ask),
            (Some(keeper), Message::Succeeds { session, rest }) => {
                keeper.succeeds(place, from, number, session, rest)
            }
            (Some(keeper), Message::Leaving { session, holds }) => {
                keeper.leaving(place, from, number, session, &holds);
                None
            }
            (None, Message::Ask(_)) => {
                let keeper = seat.keeper().filter(|keeper| Some(*keeper) != self.start.seat);
                Some(Message::Elsewhere { number, keeper })
            }
            _ => None,
        }
    }

    fn answered(&mut self, now: Duration, seat: u8, message: Message, effects: &mut Vec<Effect>) {
        if let Message::Former { number, of, former } = message {
            return self.heard_of_former(now, number, of, &former, effects);
        }
        if self.holder.heard(now, seat, message) {
            if let Some(leave) = self.holder.leave(now) {
                let (amounts, until) = (leave.amounts.clone(), leave.until);
                self.usage.set_grants(now, &amounts, until);
                effects.push(Effect::Room);
                self.tell_succession(now, seat, effects);
            }
        }
    }

    /// Whoever keeps this gateway's leave hears what is left of processes before it, until that is nothing.
    fn tell_succession(&mut self, now: Duration, seat: u8, effects: &mut Vec<Effect>) {
        if !self.succession.has_news() {
            return;
        }
        let rest = self.succession.is_complete().then(|| self.usage.inherited_beyond_floors(now));
        let number = self.succession.ask(rest.as_ref());
        let session = self.holder.session();
        self.ask_seat(now, seat, number, Message::Succeeds { session, rest }, effects);
    }

    fn heard_of_former(
        &mut self,
        now: Duration,
        number: u64,
        of: Incarnation,
        former: &[Incarnation],
        effects: &mut Vec<Effect>,
    ) {
        if of != self.start.incarnation || !self.succession.is_last(number) {
            self.passed_over += 1;
            return;
        }
        self.succession.answered();
        if self.succession.heard(former) {
            // What is out is counted: the rest of the floors is ours.
            self.usage.allow_floors_after(now, Duration::ZERO);
            effects.push(Effect::Room);
            let seat = self.holder.seat();
            self.tell_succession(now, seat, effects);
        }
    }

    fn ask_seat(
        &mut self,
        now: Duration,
        seat: u8,
        number: u64,
        message: Message,
        effects: &mut Vec<Effect>,
    ) {
        if Some(seat) != self.start.seat {
            let from = Party::Place(self.start.place);
            let Start { incarnation, terms, .. } = &self.start;
            let envelope = Envelope { fleet: terms.fleet, from, incarnation: *incarnation, number, message };
            return effects.push(Effect::Say { to: To::Seat(seat), envelope });
        }
        // The own seat is asked as any other is, without the way.
        let (place, incarnation) = (self.start.place, self.start.incarnation);
        if let Some(answer) = self.asked(now, place, incarnation, number, message) {
            self.answered(now, seat, answer, effects);
        }
    }

    fn envelope(&mut self, message: Message) -> Envelope {
        self.said += 1;
        let from = match self.start.seat {
            Some(seat) => Party::Seat(seat),
            None => Party::Place(self.start.place),
        };
        let Start { incarnation, terms, .. } = &self.start;
        Envelope { fleet: terms.fleet, from, incarnation: *incarnation, number: self.said, message }
    }

    fn say_all(&mut self, say: Vec<Say>, effects: &mut Vec<Effect>) {
        for Say { to, message } in say {
            let all = 0..self.start.terms.seats;
            let to: Vec<u8> = all.filter(|seat| to.is_none_or(|to| to == *seat)).collect();
            for seat in to {
                if Some(seat) == self.start.seat {
                    continue;
                }
                let envelope = self.envelope(message.clone());
                effects.push(Effect::Say { to: To::Seat(seat), envelope });
            }
        }
    }

    /// What is left of this gateway's parts.
    pub fn room(&mut self, now: Duration) -> Headroom {
        self.usage.headroom(now)
    }

    /// When what is left changes by itself.
    pub fn room_due(&self, now: Duration) -> Option<Duration> {
        self.usage.due(now)
    }

    pub fn took(&mut self, now: Duration, took: &Charges) {
        self.usage.record_charges(now, took);
    }

    /// What is decided now may be sent until then, whatever this process sleeps through: what it may have in use is counted
    /// for longer than the leave lasts, by more than that.
    pub fn sends_until(&self, now: Duration) -> Option<Duration> {
        (!self.start.budgets.is_empty()).then(|| now + self.start.terms.on_its_way())
    }

    pub fn place(&self) -> u32 {
        self.start.place
    }

    pub fn incarnation(&self) -> Incarnation {
        self.start.incarnation
    }

    /// An execution has ended here; what may remain of it is counted, and can be settled by the name that comes back.
    pub fn ended(&mut self, now: Duration, took: Charges, remains: Remains) -> Option<OrphanId> {
        let span = self.span(remains);
        self.usage.end(now, took, span)
    }

    /// More is known of what remains of an execution: its name from now on, while it counts.
    pub fn settle(&mut self, now: Duration, name: OrphanId, remains: Remains) -> Option<OrphanId> {
        let span = self.span(remains);
        self.usage.settle(now, name, span)
    }

    /// For how long what remains of an execution is counted.
    fn span(&self, remains: Remains) -> Option<Duration> {
        match remains {
            Remains::Nothing => None,
            Remains::UntilForgotten => Some(self.start.terms.ghost()),
            Remains::Unheard => Some(self.start.terms.unheard()),
        }
    }

    /// How long the engine of an execution that was not heard of is worth asking.
    pub fn unheard(&self) -> Duration {
        self.start.terms.unheard()
    }

    /// Whether what remains of an execution is counted still, and of how many that is so.
    pub fn lingers(&self, name: OrphanId) -> bool {
        self.usage.counts_orphan(name)
    }

    pub fn lingering(&self) -> usize {
        self.usage.orphans()
    }

    pub fn refused(&mut self, now: Duration, demand: &Demand) {
        if self.usage.record_refusal(now, demand) {
            self.holder.hasten(now);
        }
    }

    /// Leaves for good, with nothing more to come: what is not in use is free for others at once. Said again, it says the same.
    pub fn leave(&mut self, now: Duration) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.usage.drop_grants(now);
        let holds = self.usage.held(now);
        if let Some((seat, number, message)) = self.holder.go(holds) {
            self.ask_seat(now, seat, number, message, &mut effects);
        }
        if !std::mem::replace(&mut self.leaving, true) {
            let say = self.seat.as_mut().map(Seat::leave).unwrap_or_default();
            self.keeper = None;
            self.say_all(say, &mut effects);
        }
        effects
    }

    /// Floors, leave and use, as they are now.
    pub fn figures(&mut self, now: Duration) -> Vec<BudgetStatus> {
        self.usage.status(now)
    }

    /// The right to keep, while this gateway has it.
    pub fn right(&self, now: Duration) -> Option<Right> {
        self.seat.as_ref().and_then(|seat| seat.right(now))
    }

    /// What another part of this gateway says to the fleet, as its seat where it has one and speaks as that.
    pub fn wrap(&mut self, message: Message, as_place: bool) -> Envelope {
        let place = Party::Place(self.start.place);
        let envelope = self.envelope(message);
        Envelope { from: if as_place { place } else { envelope.from }, ..envelope }
    }

    /// Whether this gateway keeps the leave now.
    pub fn keeps(&self, now: Duration) -> bool {
        self.keeper.is_some() && self.seat.as_ref().is_some_and(|seat| seat.right(now).is_some())
    }

    pub fn status(&mut self, now: Duration) -> Status {
        let seat = self.seat.as_ref().zip(self.start.seat);
        let leave = self.holder.leave(now);
        Status {
            place: self.start.place,
            incarnation: self.start.incarnation,
            asks: self.holder.seat(),
            has_leave: leave.is_some(),
            members: leave.map(|leave| leave.members),
            holder: self.holder.counts,
            seat: seat.map(|(seat, own)| SeatStatus {
                seat: own,
                votes: seat.votes(),
                keeper: if seat.right(now).is_some() { Some(own) } else { seat.keeper() },
                bids: seat.bids,
            }),
            keeper: self.keeper.as_ref().filter(|_| seat.is_some_and(|(s, _)| s.right(now).is_some())).map(
                |keeper| KeeperStatus {
                    waits_out: keeper.waits_out(),
                    members: keeper.members(),
                    totals: keeper.totals(),
                    counts: keeper.counts,
                },
            ),
            budgets: self.usage.status(now),
            passed_over: self.passed_over,
        }
    }
}
