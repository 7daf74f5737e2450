//! The holder's voters: who decides that a holder which can't renew has ended.

use std::time::Duration;

use mustardhinge_core::prelude::{InstanceId, MonotonicTime, ZoneId};
use mustardhinge_core::primacy::{
    DutyClaim, DutyRecord, DutyStep, DutyVoter, RecordRevision, RecordSighting, VoterCandidate,
    VoterChoice,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::{at, id};

const STEP: u64 = 50;
const ASK_EVERY: u64 = 500;
const COUNT: usize = 5;

fn voter(name: &str, incarnation: u64) -> DutyVoter {
    DutyVoter {
        instance: id(name),
        incarnation,
        address: "127.0.0.1:7000".parse().unwrap(),
    }
}

fn choose(instances: &[(&str, &str)], present: &[DutyVoter]) -> Vec<String> {
    let zones: Vec<ZoneId> = instances
        .iter()
        .map(|(_, zone)| zone.parse().unwrap())
        .collect();
    let candidates = instances
        .iter()
        .zip(&zones)
        .map(|((name, _), zone)| VoterCandidate {
            voter: voter(name, 1),
            zone,
            heard_at: at(1_000),
        });
    let voters = VoterChoice::choose(candidates, present, at(1_500));
    voters
        .iter()
        .map(|voter| voter.instance.to_string())
        .collect()
}

#[test]
fn voters_are_odd_in_number_and_spread_over_the_zones() {
    assert!(choose(&[("i1", "a"), ("i2", "b")], &[]).is_empty());
    assert_eq!(
        choose(&[("i1", "a"), ("i2", "b"), ("i3", "b"), ("i4", "b")], &[]).len(),
        3
    );
    let many = [
        ("i1", "a"),
        ("i2", "a"),
        ("i3", "a"),
        ("i4", "b"),
        ("i5", "b"),
        ("i6", "c"),
        ("i7", "c"),
    ];
    assert_eq!(choose(&many, &[]), ["i1", "i2", "i4", "i5", "i6"]);
    let present = [voter("i3", 1), voter("i7", 1)];
    assert_eq!(choose(&many, &present), ["i1", "i3", "i4", "i5", "i7"]);
}

#[derive(Clone)]
enum Message {
    Hint {
        fence: u64,
        from: usize,
    },
    Ask {
        from: usize,
        incarnation: u64,
        fence: u64,
        echo: Option<(u64, MonotonicTime)>,
        asked_at: MonotonicTime,
    },
    Grant {
        incarnation: u64,
        fence: u64,
        sighting: RecordSighting,
        granted_at: MonotonicTime,
        asked_at: MonotonicTime,
        lease: Duration,
    },
}

struct Node {
    claim: DutyClaim,
    incarnation: u64,
    echo: Option<(u64, MonotonicTime)>,
    granted_at: MonotonicTime,
    asked_at: MonotonicTime,
    /// Fence and end of its lease.
    lease: Option<(u64, MonotonicTime)>,
    frozen_until: MonotonicTime,
    /// Cut off from the store.
    no_store_until: MonotonicTime,
}

impl Node {
    fn make_ask(&self, index: usize, now: MonotonicTime) -> Message {
        Message::Ask {
            from: index,
            incarnation: self.incarnation,
            fence: self.claim.highest_fence(),
            echo: self.echo,
            asked_at: now,
        }
    }

    fn take_grant(&mut self, message: Message, now: MonotonicTime) {
        let Message::Grant {
            incarnation,
            fence,
            sighting,
            granted_at,
            asked_at,
            lease,
        } = message
        else {
            return;
        };
        if incarnation != self.incarnation || fence < self.claim.highest_fence() {
            return;
        }
        let first_seen = now.max(sighting.first_seen);
        let sighting = RecordSighting {
            first_seen,
            ..sighting
        };
        self.claim.heard_holder(sighting, now);
        self.granted_at = now;
        self.echo = Some((fence, granted_at));
        let end = asked_at + lease;
        let known = self
            .lease
            .filter(|(by, until)| *by == fence && *until > end);
        self.lease = known.or(Some((fence, end)));
    }
}

/// Several instances, a store that loses answers and is late, and messages that come late, twice
/// or never.
struct World {
    nodes: Vec<Node>,
    store: Option<(RecordRevision, DutyRecord)>,
    revision: u64,
    late_writes: Vec<(MonotonicTime, DutyRecord, Option<RecordRevision>)>,
    mail: Vec<(MonotonicTime, usize, Message)>,
    /// Between which two groups of instances no message passes: those below this number, and
    /// the others.
    cut: Option<(usize, MonotonicTime)>,
    random: SmallRng,
    is_faulty: bool,
    /// A word of a voter counts from when it comes: planted.
    counts_arrival: bool,
}

fn node_id(index: usize) -> InstanceId {
    id(&format!("i{index}"))
}

fn start_node(index: usize, incarnation: u64) -> Node {
    let address = "127.0.0.1:7000".parse().unwrap();
    let rank = u32::try_from(index).unwrap();
    Node {
        claim: DutyClaim::new(node_id(index), incarnation, address, rank),
        incarnation,
        echo: None,
        granted_at: at(0),
        asked_at: at(0),
        lease: None,
        frozen_until: at(0),
        no_store_until: at(0),
    }
}

impl World {
    fn new(seed: u64) -> Self {
        Self {
            nodes: (0..COUNT).map(|index| start_node(index, 1)).collect(),
            store: None,
            revision: 0,
            late_writes: Vec::new(),
            mail: Vec::new(),
            cut: None,
            random: SmallRng::seed_from_u64(seed),
            is_faulty: false,
            counts_arrival: false,
        }
    }

    fn holder(&self, now: MonotonicTime) -> Option<usize> {
        self.nodes.iter().position(|node| node.claim.may_grant(now))
    }

    fn write(
        &mut self,
        record: DutyRecord,
        expected: Option<RecordRevision>,
    ) -> Option<RecordRevision> {
        let present = self.store.as_ref().map(|(revision, _)| *revision);
        if present != expected {
            return None;
        }
        self.revision += 1;
        let revision = RecordRevision::new(self.revision);
        self.store = Some((revision, record));
        Some(revision)
    }

    fn passes(&self, one: usize, other: usize, now: MonotonicTime) -> bool {
        self.cut
            .is_none_or(|(first, until)| now >= until || (one < first) == (other < first))
    }

    fn send(&mut self, from: usize, to: usize, message: Message, now: MonotonicTime) {
        if !self.passes(from, to, now) || (self.is_faulty && self.random.random_bool(0.1)) {
            return;
        }
        let delay = if self.is_faulty && self.random.random_bool(0.05) {
            self.random.random_range(0..4_000)
        } else {
            0
        };
        self.mail
            .push((now + Duration::from_millis(delay), to, message));
    }

    fn step(&mut self, now: MonotonicTime) {
        let due: Vec<_> = self
            .late_writes
            .extract_if(.., |(due, ..)| *due <= now)
            .collect();
        for (_, record, expected) in due {
            self.write(record, expected);
        }
        let frozen: Vec<bool> = self
            .nodes
            .iter()
            .map(|node| now < node.frozen_until)
            .collect();
        let due: Vec<_> = self
            .mail
            .extract_if(.., |(due, to, _)| *due <= now && !frozen[*to])
            .collect();
        for (_, to, message) in due {
            self.take(to, message, now);
        }
        for index in (0..COUNT).filter(|index| !frozen[*index]) {
            self.ask(index, now);
            self.follow(index, now);
            self.tell_voters(index, now);
        }
        self.check(now);
    }

    fn ask(&mut self, index: usize, now: MonotonicTime) {
        let node = &mut self.nodes[index];
        if now < node.asked_at + Duration::from_millis(ASK_EVERY) {
            return;
        }
        node.asked_at = now;
        let message = node.make_ask(index, now);
        let holder = node
            .claim
            .known_holder()
            .map(|record| record.holder.clone());
        let is_lost = now.saturating_since(node.granted_at) > Duration::from_millis(1_100);
        for to in 0..COUNT {
            if to == index {
                self.take(to, message.clone(), now);
            } else if is_lost || holder == Some(node_id(to)) {
                self.send(index, to, message.clone(), now);
            }
        }
    }

    fn take(&mut self, to: usize, message: Message, now: MonotonicTime) {
        match message {
            Message::Hint { fence, from } => {
                let node = &mut self.nodes[to];
                node.claim.heard_fence(fence);
                let ask = node.make_ask(to, now);
                self.send(to, from, ask, now);
            }
            Message::Ask { .. } => self.take_ask(to, &message, now),
            Message::Grant { .. } => self.nodes[to].take_grant(message, now),
        }
    }

    fn take_ask(&mut self, to: usize, message: &Message, now: MonotonicTime) {
        let &Message::Ask {
            from,
            incarnation,
            fence,
            echo,
            asked_at,
        } = message
        else {
            return;
        };
        let counts_arrival = self.counts_arrival;
        let claim = &mut self.nodes[to].claim;
        claim.heard_fence(fence);
        let asker = node_id(from);
        if let Some((fence, at)) = echo {
            let at = if counts_arrival { now } else { at };
            claim.voter_echoed((&asker, incarnation), fence, at);
        }
        let Some(lease) = claim.lease_for(now) else {
            return;
        };
        let (record, revision, renewed_at) = claim.held_record().unwrap();
        let own_fence = record.fence;
        let sighting = RecordSighting {
            revision,
            record: record.clone(),
            first_seen: renewed_at,
        };
        if fence >= own_fence {
            claim.voter_moved((&asker, incarnation), now);
        }
        let grant = Message::Grant {
            incarnation,
            fence: own_fence,
            sighting,
            granted_at: now,
            asked_at,
            lease,
        };
        if from == to {
            self.nodes[to].take_grant(grant, now);
        } else {
            self.send(to, from, grant, now);
        }
    }

    fn follow(&mut self, index: usize, now: MonotonicTime) {
        let present: Vec<_> = (0..COUNT)
            .map(|index| DutyVoter {
                instance: node_id(index),
                incarnation: self.nodes[index].incarnation,
                address: "127.0.0.1:7000".parse().unwrap(),
            })
            .collect();
        self.nodes[index].claim.set_voters(present);
        if now < self.nodes[index].no_store_until {
            return;
        }
        match self.nodes[index].claim.next_step(now) {
            DutyStep::Wait => {}
            DutyStep::Read => {
                let stored = self.store.clone();
                let claim = &mut self.nodes[index].claim;
                claim.note_read(now);
                claim.saw_record(stored, now, now);
            }
            DutyStep::Write { record, expected } => {
                self.nodes[index].claim.note_write(&record, now);
                let luck = if self.is_faulty {
                    self.random.random_range(0..20)
                } else {
                    9
                };
                if luck == 0 {
                    let delay = Duration::from_millis(self.random.random_range(0..3_000));
                    self.late_writes.push((now + delay, record, expected));
                    self.nodes[index].claim.note_unsure();
                    return;
                }
                let written = self.write(record.clone(), expected);
                let claim = &mut self.nodes[index].claim;
                match written.filter(|_| luck != 1) {
                    Some(revision) => claim.wrote(revision, record, now),
                    None => claim.note_unsure(),
                }
            }
        }
    }

    fn tell_voters(&mut self, index: usize, now: MonotonicTime) {
        let claim = &self.nodes[index].claim;
        let fence = claim.highest_fence();
        for voter in claim.awaited_voters(now) {
            let to = (0..COUNT).find(|to| node_id(*to) == voter.instance);
            self.send(
                index,
                to.unwrap(),
                Message::Hint { fence, from: index },
                now,
            );
        }
    }

    /// Whoever may replace primaries does so while no lease of an earlier holder runs.
    fn check(&self, now: MonotonicTime) {
        for holder in self.nodes.iter().filter(|node| node.claim.may_promote(now)) {
            let fence = holder.claim.held_record().unwrap().0.fence;
            for (index, node) in self.nodes.iter().enumerate() {
                let Some((lent_by, until)) = node.lease else {
                    continue;
                };
                assert!(
                    lent_by >= fence || until <= now,
                    "i{index} has a lease of {lent_by} until {until}, {fence} may replace at {now}"
                );
            }
        }
    }

    fn trouble(&mut self, now: MonotonicTime) {
        let index = self.random.random_range(0..COUNT);
        let long = Duration::from_millis(self.random.random_range(500..9_000));
        match self.random.random_range(0..12) {
            0 => self.nodes[index].frozen_until = now + long,
            1 => {
                let incarnation = self.nodes[index].incarnation + 1;
                self.nodes[index] = start_node(index, incarnation);
            }
            2 => {
                let first = self.random.random_range(1..COUNT);
                self.cut = Some((first, now + long));
                for node in &mut self.nodes[..first] {
                    node.no_store_until = now + long;
                }
            }
            3 => self.nodes[index].no_store_until = now + long,
            4 => {
                for node in &mut self.nodes {
                    node.no_store_until = now + long;
                }
            }
            5 => {
                let node = &mut self.nodes[index];
                if let Some((record, revision)) = node.claim.release(now) {
                    node.claim.retire();
                    self.write(record, Some(revision));
                    let incarnation = self.nodes[index].incarnation + 1;
                    self.nodes[index] = start_node(index, incarnation);
                }
            }
            _ => {}
        }
    }

    fn run(&mut self, from: u64, to: u64) {
        for millis in (from..to).step_by(STEP as usize) {
            if self.is_faulty && millis % 500 == 0 {
                self.trouble(at(millis));
            }
            self.step(at(millis));
        }
    }
}

/// The holder's zone is cut off from the store and from the others: these replace primaries
/// within the seven seconds of the stated target, of which the change itself may take one.
#[test]
fn a_holder_that_is_cut_off_is_replaced_soon() {
    for cut_at in (5_000..6_000).step_by(50) {
        let mut world = World::new(1);
        world.run(1_000, cut_at);
        let before = world.holder(at(cut_at)).unwrap();
        assert_eq!(before, 0, "the first one claims first");
        world.cut = Some((2, at(100_000)));
        for node in &mut world.nodes[..2] {
            node.no_store_until = at(100_000);
        }
        world.run(cut_at, cut_at + 6_000);
        let now = at(cut_at + 6_000);
        let next = world
            .nodes
            .iter()
            .filter(|node| node.claim.may_promote(now));
        assert_eq!(next.count(), 1, "cut at {cut_at}");
    }
}

/// The store is out for all: the holder lends on as before.
#[test]
fn an_outage_of_the_store_does_not_end_the_leases() {
    let mut world = World::new(2);
    world.run(1_000, 5_000);
    for node in &mut world.nodes {
        node.no_store_until = at(13_000);
    }
    for millis in (5_000..13_000).step_by(50) {
        world.run(millis, millis + 50);
        for (index, node) in world.nodes.iter().enumerate() {
            let until = node.lease.map(|(_, until)| until);
            assert!(until > Some(at(millis + 300)), "i{index} at {millis} ms");
        }
    }
}

/// Cuts, frozen and restarted instances, planned stops, late and lost writes and messages.
#[test]
fn no_holder_replaces_while_a_lease_of_an_earlier_one_runs() {
    for seed in 0..300 {
        let mut world = World::new(seed);
        world.is_faulty = true;
        world.run(1_000, 60_000);
    }
}

/// A holder stands still while asks come in, and is cut off before it goes on.
fn freeze_and_cut(world: &mut World) {
    world.run(1_000, 5_000);
    world.nodes[0].frozen_until = at(9_000);
    world.run(5_000, 5_600);
    world.cut = Some((2, at(100_000)));
    for node in &mut world.nodes[..2] {
        node.no_store_until = at(100_000);
    }
    world.run(5_600, 18_000);
}

#[test]
fn old_words_in_the_queue_of_a_frozen_holder_do_not_count() {
    freeze_and_cut(&mut World::new(3));
}

/// Planted: a word counts from its arrival. What the frozen holder finds in its queue then keeps
/// up rights that have ended; the check has to find it.
#[test]
#[should_panic(expected = "has a lease of")]
fn words_that_count_from_their_arrival_are_found_out() {
    let mut world = World::new(3);
    world.counts_arrival = true;
    freeze_and_cut(&mut world);
}
