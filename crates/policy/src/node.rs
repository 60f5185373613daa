//! One gateway's part in the fleet's policy: a follower always, a register where it has a seat, the steward while it keeps.

use crate::follower::{self, Follower, Permit};
use crate::register::{Lasting, Register};
use crate::revision::{Digest, Revision};
use crate::rules::Rules;
use crate::say::{Say, Stands};
use crate::steward::Steward;
use crate::store::Kept;
use crate::texts::Texts;
use crate::{Check, Phase, Terms};
use bramblewharf_fleet::node::Recipient;
use bramblewharf_fleet::voter::LeaderLease;
use std::sync::Arc;
use std::time::Duration;

/// How often it must be called at the least while it keeps: patient clocks stand still beyond this.
const EVERY: Duration = Duration::from_millis(100);
/// Answers that wait for the disk.
const WAITING: usize = 64;

#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    Say {
        to: Recipient,
        say: Say,
    },
    /// To be written whole, and `kept` called with how that went.
    Keep {
        generation: u64,
        bytes: Vec<u8>,
    },
    /// What it decides by has changed: see `permit`.
    Permit,
}

/// All that a gateway is told at its start.
#[derive(Clone)]
pub struct Start {
    pub place: u32,
    pub seat: Option<u8>,
    pub terms: Terms,
    pub check: Check,
    /// Of its own file: a fleet's first revision, where nobody has any.
    pub own: Revision,
    /// What its disk has, where it has one and that is whole.
    pub file: Option<(u64, Kept)>,
    /// New with every start: answers to a process before this one are none to it.
    pub incarnation: u64,
    /// How long it waits for the fleet's word before it goes on alone, by what it acted by last.
    pub wait: Duration,
    /// Where it never acted by anything: by its own file. Whoever is cut off at its first start may then do what is forbidden
    /// elsewhere.
    pub start_alone: bool,
}

/// For whoever looks on.
#[derive(Clone, Debug)]
pub struct Status {
    pub phase: Option<Phase>,
    pub acts_by: Option<(u64, Digest)>,
    pub standing: &'static str,
    pub counts: follower::Counts,
    pub keeps: Option<Stands>,
    pub halts: bool,
    /// Writes of its file that failed.
    pub disk_failed: u64,
}

pub struct Node {
    place: u32,
    terms: Terms,
    seat: Option<u8>,
    own: Digest,
    texts: Texts<Recipient>,
    follower: Follower,
    register: Option<Register>,
    steward: Option<Steward>,
    /// What was kept last, and what waits for it.
    generation: u64,
    kept: Option<Kept>,
    waits: Vec<(u64, Recipient, Say)>,
    /// What it would go on by alone, by write that has not ended.
    files: Vec<(u64, Vec<Digest>)>,
    /// Texts of the last write that this seat could not take without them: kept until that comes again.
    offers: Vec<Digest>,
    ticked: Duration,
    disk_failed: u64,
    acted_by: Vec<Digest>,
}

impl Node {
    /// None where its own file can't be read as a policy by this build: a bad configuration is not begun with.
    pub fn start(start: Start, now: Duration) -> Result<Node, String> {
        let Start { place, seat, terms, check, own, file, incarnation, wait, start_alone } = start;
        let mut texts = Texts::new(check, seat.map(Recipient::Voter));
        let own = texts.add(own);
        if let Some(Err(why)) = texts.get(&own).map(|text| text.rules.clone()) {
            return Err(why);
        }
        let generation = file.as_ref().map_or(0, |(generation, _)| *generation);
        let kept = file.map(|(_, kept)| kept);
        for revision in kept.iter().flat_map(|kept| &kept.revisions) {
            texts.add(revision.clone());
        }
        // The last one acted by, as the disk has it; that of its own file only where the operators chose so.
        let mut alone = kept.as_ref().map(|kept| kept.alone.clone()).unwrap_or_default();
        if alone.is_empty() && start_alone {
            alone.push(own);
        }
        let alone = alone.into_iter().filter_map(|digest| Some((digest, texts.rules(&digest)?))).collect();
        let follower = Follower::start(terms.clone(), alone, wait, place, incarnation, now);
        let lasting = kept.as_ref().and_then(|kept| kept.seat.clone());
        let register = seat.map(|_| Register::start(&terms, lasting));
        Ok(Node {
            place,
            terms,
            seat,
            own,
            texts,
            follower,
            register,
            steward: None,
            generation,
            kept,
            waits: Vec::new(),
            files: Vec::new(),
            offers: Vec::new(),
            ticked: now,
            disk_failed: 0,
            acted_by: Vec::new(),
        })
    }

    pub fn due(&self, now: Duration) -> Duration {
        if now < self.ticked {
            return now;
        }
        let own = self.follower.due().max(now + Duration::from_millis(1));
        own.min(self.ticked + EVERY)
    }

    /// `right`: to keep, as the seats agreed.
    pub fn tick(&mut self, now: Duration, right: Option<LeaderLease>) -> Vec<Effect> {
        self.ticked = now;
        let mut effects = Vec::new();
        self.keep(now, right, &mut effects);
        if let Some((seat, say)) = self.follower.tick(now) {
            self.ask_seat(now, seat, say, &mut effects);
        }
        let again = self.terms.lease() / 16;
        let asks = self.texts.ask(now, again);
        effects.extend(asks.into_iter().map(|(to, say)| Effect::Say { to, say }));
        self.tidy();
        effects
    }

    fn keep(&mut self, now: Duration, right: Option<LeaderLease>, effects: &mut Vec<Effect>) {
        let right = right.filter(|right| now < right.until);
        if self
            .steward
            .as_ref()
            .is_some_and(|steward| right.is_none_or(|right| right.term != steward.right()))
        {
            self.steward = None;
        }
        let (Some(right), Some(own)) = (right, self.seat) else { return };
        let terms = &self.terms;
        let steward = self.steward.get_or_insert_with(|| Steward::start(right.term, own, terms.clone(), now));
        let Some(say) = steward.tick(now, &mut self.texts, self.own) else {
            self.steward = None;
            return;
        };
        for (seat, say) in say {
            self.ask_seat(now, seat, say, effects);
        }
    }

    /// The own seat is asked as any other is, without the way.
    fn ask_seat(&mut self, now: Duration, seat: u8, say: Say, effects: &mut Vec<Effect>) {
        match self.seat == Some(seat) {
            true => self.heard_by_seat(now, Recipient::Voter(seat), None, say, effects),
            false => effects.push(Effect::Say { to: Recipient::Voter(seat), say }),
        }
    }

    /// What somebody said. `place` where it was a gateway, `seat` where it speaks as one.
    pub fn heard(
        &mut self,
        now: Duration,
        from: Recipient,
        place: Option<u32>,
        say: Say,
        right: Option<LeaderLease>,
    ) -> Vec<Effect> {
        let mut effects = Vec::new();
        // By the right as it is now.
        self.keep(now, right, &mut effects);
        self.heard_by_seat(now, from, place, say, &mut effects);
        self.tidy();
        effects
    }

    fn heard_by_seat(
        &mut self,
        now: Duration,
        from: Recipient,
        place: Option<u32>,
        say: Say,
        effects: &mut Vec<Effect>,
    ) {
        match say {
            Say::Get { digest, from: at } => {
                if let Some(say) = self.texts.piece(digest, at) {
                    effects.push(Effect::Say { to: from, say });
                }
            }
            Say::Piece { digest, from: at, whole, bytes } => {
                self.texts.came(digest, at, whole, &bytes);
            }
            Say::Read(term) => {
                if let Some(register) = &mut self.register {
                    let answer = register.read(term);
                    self.after_keeping(from, answer, effects);
                }
            }
            Say::Write(stamp, entry) => {
                let Some(register) = &mut self.register else { return };
                // First the texts: whoever asks later must get them here.
                let missing = entry.digests().filter(|digest| !self.texts.want(*digest, from)).count();
                if missing > 0 {
                    self.offers = entry.digests().collect();
                    return;
                }
                let answer = register.write(stamp, entry);
                self.after_keeping(from, answer, effects);
            }
            Say::Has { .. } | Say::Written(_) | Say::Old { .. } => self.tell_steward(from, say),
            Say::Ask(ask) => {
                let place = place.or((Some(from) == self.seat.map(Recipient::Voter)).then_some(self.place));
                let Some(place) = place.filter(|_| self.seat.is_some()) else { return };
                let answer = match &mut self.steward {
                    Some(steward) => steward.ask(place, &ask),
                    None => Some(Say::NotNow { number: ask.number, keeper: None }),
                };
                if let Some(say) = answer {
                    match Some(from) == self.seat.map(Recipient::Voter) {
                        true => self.tell_follower(now, self.seat.unwrap_or(0), say, effects),
                        false => effects.push(Effect::Say { to: from, say }),
                    }
                }
            }
            Say::Leave(_) | Say::NotNow { .. } => {
                let Recipient::Voter(seat) = from else { return };
                self.tell_follower(now, seat, say, effects);
            }
            Say::Offer { digest, wait_ms } => {
                self.texts.want(digest, from);
                if let Some(steward) = &mut self.steward {
                    steward.offer(digest, Duration::from_millis(wait_ms));
                }
                self.tell_stands(from, effects);
            }
            Say::Withdraw(digest) => {
                if let Some(steward) = &mut self.steward {
                    steward.withdraw(digest);
                }
                self.tell_stands(from, effects);
            }
            Say::Asks => self.tell_stands(from, effects),
            Say::Stands(_) => {}
        }
    }

    fn tell_stands(&self, to: Recipient, effects: &mut Vec<Effect>) {
        if let Some(steward) = self.steward.as_ref().filter(|steward| steward.serves()) {
            effects.push(Effect::Say { to, say: Say::Stands(steward.stands(&self.texts)) });
        }
    }

    fn tell_steward(&mut self, from: Recipient, say: Say) {
        let Recipient::Voter(seat) = from else { return };
        if let Some(steward) = &mut self.steward {
            steward.answered(seat, say);
        }
    }

    fn tell_follower(&mut self, now: Duration, seat: u8, say: Say, effects: &mut Vec<Effect>) {
        if self.follower.heard(now, seat, say, &mut self.texts) {
            effects.push(Effect::Permit);
            if self.acted_by != self.follower.acts_by() {
                self.acted_by = self.follower.acts_by();
                self.write_file(effects);
            }
        }
    }

    /// Says it once what it rests on is on the disk.
    fn after_keeping(&mut self, to: Recipient, say: Say, effects: &mut Vec<Effect>) {
        if let Say::Old { .. } = say {
            return self.say_now(to, say, effects);
        }
        self.write_file(effects);
        if self.waits.len() >= WAITING {
            self.waits.remove(0);
        }
        self.waits.push((self.generation, to, say));
    }

    fn say_now(&mut self, to: Recipient, say: Say, effects: &mut Vec<Effect>) {
        match Some(to) == self.seat.map(Recipient::Voter) {
            true => self.tell_steward(to, say),
            false => effects.push(Effect::Say { to, say }),
        }
    }

    fn write_file(&mut self, effects: &mut Vec<Effect>) {
        let acts_by = self.follower.acts_by();
        let entry = self
            .register
            .iter()
            .filter_map(|register| register.stored())
            .flat_map(|(_, entry)| entry.digests());
        let mut digests: Vec<Digest> = acts_by.iter().copied().chain(entry).collect();
        // Of a gateway without a seat, the one before is kept too.
        let before = self.kept.iter().flat_map(|kept| &kept.revisions).map(Revision::digest).take(1);
        digests.extend(before);
        let mut revisions = Vec::new();
        for digest in digests {
            if let Some(text) = self.texts.get(&digest) {
                if !revisions.contains(&*text.revision) {
                    revisions.push((*text.revision).clone());
                }
            }
        }
        let seat: Option<Lasting> = self.register.as_ref().map(|register| register.lasting().clone());
        let kept = Kept { seat, alone: acts_by.clone(), revisions };
        self.generation += 1;
        effects.push(Effect::Keep { generation: self.generation, bytes: kept.write(self.generation) });
        self.files.push((self.generation, acts_by));
        if self.files.len() > WAITING {
            self.files.remove(0);
        }
        self.kept = Some(kept);
    }

    /// How a write went. One that failed is no word: whoever waits for it asks again, and it is tried anew then.
    pub fn kept(&mut self, generation: u64, well: bool) -> Vec<Effect> {
        let mut effects = Vec::new();
        if !well {
            self.disk_failed += 1;
            self.waits.retain(|(of, ..)| *of != generation);
            return effects;
        }
        // From now on it would start again with that.
        if let Some((_, digest)) = self.files.iter().rev().find(|(of, _)| *of <= generation) {
            self.follower.falls_back_to(digest.clone());
        }
        self.files.retain(|(of, _)| *of > generation);
        let (ready, waits) =
            std::mem::take(&mut self.waits).into_iter().partition(|(of, ..)| *of <= generation);
        self.waits = waits;
        for (_, to, say) in ready {
            self.say_now(to, say, &mut effects);
        }
        effects
    }

    /// Texts that nobody needs any more are let go.
    fn tidy(&mut self) {
        let mut needed: Vec<Digest> = vec![self.own];
        needed.extend(self.follower.acts_by());
        needed.extend(self.follower.needs());
        needed
            .extend(self.register.iter().filter_map(Register::stored).flat_map(|(_, entry)| entry.digests()));
        needed.extend(self.steward.iter().flat_map(|steward| steward.digests().collect::<Vec<_>>()));
        needed.extend(self.kept.iter().flat_map(|kept| &kept.revisions).map(Revision::digest));
        needed.extend(&self.offers);
        self.texts.keep(|digest| needed.contains(digest));
    }

    pub fn permit(&self, now: Duration) -> Permit {
        self.follower.permit(now)
    }

    /// What it decides by, and until when at the longest: for checkers.
    pub fn fact(&self, now: Duration) -> (&'static str, Vec<Digest>, Option<Duration>) {
        (self.permit(now).standing(now).name(), self.follower.acts_by(), self.follower.until(now))
    }

    pub fn permit_due(&self, now: Duration) -> Option<Duration> {
        self.follower.permit_due(now)
    }

    pub fn phase(&self, now: Duration) -> Option<Phase> {
        self.follower.phase(now)
    }

    /// The text of a revision that is here.
    pub fn revision(&self, digest: &Digest) -> Option<&Revision> {
        self.texts.get(digest).map(|text| &*text.revision)
    }

    pub fn rules(&self, digest: &Digest) -> Option<Arc<Rules>> {
        self.texts.rules(digest)
    }

    pub fn status(&self, now: Duration) -> Status {
        let acts_by = self.follower.acts_by();
        let number = |digest: &Digest| (self.revision(digest).map_or(0, |revision| revision.number), *digest);
        Status {
            phase: self.follower.phase(now),
            acts_by: acts_by.first().map(number),
            standing: self.permit(now).standing(now).name(),
            counts: self.follower.counts,
            keeps: self
                .steward
                .as_ref()
                .filter(|steward| steward.serves())
                .map(|steward| steward.stands(&self.texts)),
            halts: self.steward.as_ref().is_some_and(Steward::halts),
            disk_failed: self.disk_failed,
        }
    }
}
