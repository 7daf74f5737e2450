//! The voters, whose majority decides whether a leader that can't renew keeps its rights.

use std::time::Duration;

use mustardhinge_core::prelude::{InstanceId, MonotonicTime, ZoneId};
use mustardhinge_core::primary_lease::{
    ElectionStep, LeaderElection, LeaderRecord, ObservedRecord, RecordRevision, StoreEra, Voter,
    VoterCandidate, VoterChoice,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::{at, id};

const STEP: u64 = 50;
const REQUEST_INTERVAL: u64 = 500;
const COUNT: usize = 5;

fn voter(name: &str, incarnation: u64) -> Voter {
    Voter {
        instance: id(name),
        incarnation,
        address: "127.0.0.1:7000".parse().unwrap(),
    }
}

fn choose(instances: &[(&str, &str)], current: &[Voter]) -> Vec<String> {
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
            last_received_at: at(1_000),
        });
    let voters = VoterChoice::choose(candidates, current, at(1_500));
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
    let current = [voter("i3", 1), voter("i7", 1)];
    assert_eq!(choose(&many, &current), ["i1", "i3", "i4", "i5", "i7"]);
}

#[derive(Clone)]
enum Message {
    Hint {
        fence: u64,
        from: usize,
    },
    Request {
        from: usize,
        incarnation: u64,
        fence: u64,
        ack: Option<(u64, MonotonicTime)>,
        requested_at: MonotonicTime,
    },
    Grant {
        incarnation: u64,
        fence: u64,
        observed: ObservedRecord,
        granted_at: MonotonicTime,
        requested_at: MonotonicTime,
        lease: Duration,
    },
}

struct Node {
    election: LeaderElection,
    incarnation: u64,
    ack: Option<(u64, MonotonicTime)>,
    granted_at: MonotonicTime,
    requested_at: MonotonicTime,
    /// The fence under which its lease was granted, and when the lease expires.
    lease: Option<(u64, MonotonicTime)>,
    frozen_until: MonotonicTime,
    /// The end of the time in which the store is unreachable.
    no_store_until: MonotonicTime,
}

impl Node {
    fn make_request(&self, index: usize, now: MonotonicTime) -> Message {
        Message::Request {
            from: index,
            incarnation: self.incarnation,
            fence: self.election.highest_fence(),
            ack: self.ack,
            requested_at: now,
        }
    }

    fn handle_grant(&mut self, message: Message, now: MonotonicTime) {
        let Message::Grant {
            incarnation,
            fence,
            observed,
            granted_at,
            requested_at,
            lease,
        } = message
        else {
            return;
        };
        if incarnation != self.incarnation || fence < self.election.highest_fence() {
            return;
        }
        let first_seen = now.max(observed.first_seen);
        let observed = ObservedRecord {
            first_seen,
            ..observed
        };
        self.election.observe_leader(observed, now);
        self.granted_at = now;
        self.ack = Some((fence, granted_at));
        let end = requested_at + lease;
        let known = self
            .lease
            .filter(|(by, until)| *by == fence && *until > end);
        self.lease = known.or(Some((fence, end)));
    }
}

/// A simulation of several instances, with a store that delays writes and loses responses, and
/// with messages that are delayed or lost.
struct World {
    nodes: Vec<Node>,
    store: Option<(RecordRevision, LeaderRecord)>,
    revision: u64,
    late_writes: Vec<(MonotonicTime, LeaderRecord, Option<RecordRevision>)>,
    in_flight: Vec<(MonotonicTime, usize, Message)>,
    /// A partition between the instances below this index and the others, and its end.
    cut: Option<(usize, MonotonicTime)>,
    random: SmallRng,
    is_faulty: bool,
    /// Injected fault: an acknowledgement counts from its arrival.
    uses_arrival_time: bool,
}

fn node_id(index: usize) -> InstanceId {
    id(&format!("i{index}"))
}

fn start_node(index: usize, incarnation: u64) -> Node {
    let address = "127.0.0.1:7000".parse().unwrap();
    let rank = u32::try_from(index).unwrap();
    Node {
        election: LeaderElection::new(node_id(index), incarnation, address, rank),
        incarnation,
        ack: None,
        granted_at: at(0),
        requested_at: at(0),
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
            in_flight: Vec::new(),
            cut: None,
            random: SmallRng::seed_from_u64(seed),
            is_faulty: false,
            uses_arrival_time: false,
        }
    }

    fn leader(&self, now: MonotonicTime) -> Option<usize> {
        self.nodes
            .iter()
            .position(|node| node.election.may_grant(now))
    }

    fn write(
        &mut self,
        record: LeaderRecord,
        expected: Option<RecordRevision>,
    ) -> Option<RecordRevision> {
        let current = self.store.as_ref().map(|(revision, _)| *revision);
        if current != expected {
            return None;
        }
        self.revision += 1;
        let revision = RecordRevision::new(StoreEra::default(), self.revision);
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
        self.in_flight
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
            .in_flight
            .extract_if(.., |(due, to, _)| *due <= now && !frozen[*to])
            .collect();
        for (_, to, message) in due {
            self.handle(to, message, now);
        }
        for index in (0..COUNT).filter(|index| !frozen[*index]) {
            self.send_request(index, now);
            self.run_step(index, now);
            self.send_voter_hints(index, now);
        }
        self.check(now);
    }

    fn send_request(&mut self, index: usize, now: MonotonicTime) {
        let node = &mut self.nodes[index];
        if now < node.requested_at + Duration::from_millis(REQUEST_INTERVAL) {
            return;
        }
        node.requested_at = now;
        let message = node.make_request(index, now);
        let leader = node
            .election
            .known_leader()
            .map(|record| record.holder.clone());
        let is_lost = now.saturating_since(node.granted_at) > Duration::from_millis(1_100);
        for to in 0..COUNT {
            if to == index {
                self.handle(to, message.clone(), now);
            } else if is_lost || leader == Some(node_id(to)) {
                self.send(index, to, message.clone(), now);
            }
        }
    }

    fn handle(&mut self, to: usize, message: Message, now: MonotonicTime) {
        match message {
            Message::Hint { fence, from } => {
                let node = &mut self.nodes[to];
                node.election.observe_fence(fence);
                let request = node.make_request(to, now);
                self.send(to, from, request, now);
            }
            Message::Request { .. } => self.handle_request(to, &message, now),
            Message::Grant { .. } => self.nodes[to].handle_grant(message, now),
        }
    }

    fn handle_request(&mut self, to: usize, message: &Message, now: MonotonicTime) {
        let &Message::Request {
            from,
            incarnation,
            fence,
            ack,
            requested_at,
        } = message
        else {
            return;
        };
        let uses_arrival_time = self.uses_arrival_time;
        let election = &mut self.nodes[to].election;
        election.observe_fence(fence);
        let requester = node_id(from);
        if let Some((fence, at)) = ack {
            let at = if uses_arrival_time { now } else { at };
            election.voter_acked((&requester, incarnation), fence, at);
        }
        let Some(lease) = election.lease_duration(now) else {
            return;
        };
        let (record, revision, renewed_at) = election.held_record().unwrap();
        let own_fence = record.fence;
        let observed = ObservedRecord {
            revision,
            record: record.clone(),
            first_seen: renewed_at,
        };
        if fence >= own_fence {
            election.voter_moved((&requester, incarnation), now);
        }
        let grant = Message::Grant {
            incarnation,
            fence: own_fence,
            observed,
            granted_at: now,
            requested_at,
            lease,
        };
        if from == to {
            self.nodes[to].handle_grant(grant, now);
        } else {
            self.send(to, from, grant, now);
        }
    }

    fn run_step(&mut self, index: usize, now: MonotonicTime) {
        let current: Vec<_> = (0..COUNT)
            .map(|index| Voter {
                instance: node_id(index),
                incarnation: self.nodes[index].incarnation,
                address: "127.0.0.1:7000".parse().unwrap(),
            })
            .collect();
        self.nodes[index].election.set_voters(current);
        if now < self.nodes[index].no_store_until {
            return;
        }
        match self.nodes[index].election.next_step(now) {
            ElectionStep::Wait => {}
            ElectionStep::Read => {
                let stored = self.store.clone();
                let election = &mut self.nodes[index].election;
                election.record_read_sent(now);
                election.observe_record(stored, now, now);
            }
            ElectionStep::Write { record, expected } => {
                self.nodes[index].election.record_write_sent(&record, now);
                let fault = if self.is_faulty {
                    self.random.random_range(0..20)
                } else {
                    9
                };
                if fault == 0 {
                    let delay = Duration::from_millis(self.random.random_range(0..3_000));
                    self.late_writes.push((now + delay, record, expected));
                    self.nodes[index].election.mark_stale();
                    return;
                }
                let written = self.write(record.clone(), expected);
                let election = &mut self.nodes[index].election;
                match written.filter(|_| fault != 1) {
                    Some(revision) => election.confirm_write(revision, record, now),
                    None => election.mark_stale(),
                }
            }
        }
    }

    fn send_voter_hints(&mut self, index: usize, now: MonotonicTime) {
        let election = &self.nodes[index].election;
        let fence = election.highest_fence();
        for voter in election.awaited_voters(now) {
            let to = (0..COUNT).find(|to| node_id(*to) == voter.instance);
            self.send(
                index,
                to.unwrap(),
                Message::Hint { fence, from: index },
                now,
            );
        }
    }

    /// Checks that no lease of an earlier leader is valid while a leader may replace primaries.
    fn check(&self, now: MonotonicTime) {
        for leader in self
            .nodes
            .iter()
            .filter(|node| node.election.may_promote(now))
        {
            let fence = leader.election.held_record().unwrap().0.fence;
            for (index, node) in self.nodes.iter().enumerate() {
                let Some((granted_by, until)) = node.lease else {
                    continue;
                };
                assert!(
                    granted_by >= fence || until <= now,
                    "i{index} has a lease of {granted_by} until {until}, {fence} may replace at {now}"
                );
            }
        }
    }

    fn inject_fault(&mut self, now: MonotonicTime) {
        let index = self.random.random_range(0..COUNT);
        let duration = Duration::from_millis(self.random.random_range(500..9_000));
        match self.random.random_range(0..12) {
            0 => self.nodes[index].frozen_until = now + duration,
            1 => {
                let incarnation = self.nodes[index].incarnation + 1;
                self.nodes[index] = start_node(index, incarnation);
            }
            2 => {
                let first = self.random.random_range(1..COUNT);
                self.cut = Some((first, now + duration));
                for node in &mut self.nodes[..first] {
                    node.no_store_until = now + duration;
                }
            }
            3 => self.nodes[index].no_store_until = now + duration,
            4 => {
                for node in &mut self.nodes {
                    node.no_store_until = now + duration;
                }
            }
            5 => {
                let node = &mut self.nodes[index];
                if let Some((record, revision)) = node.election.release(now) {
                    node.election.retire();
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
                self.inject_fault(at(millis));
            }
            self.step(at(millis));
        }
    }
}

/// The leader's zone is partitioned from the store and from the other instances. The others must
/// replace primaries within the target of seven seconds, of which the change itself may take one.
#[test]
fn a_partitioned_leader_is_replaced_in_time() {
    for cut_at in (5_000..6_000).step_by(50) {
        let mut world = World::new(1);
        world.run(1_000, cut_at);
        let before = world.leader(at(cut_at)).unwrap();
        assert_eq!(before, 0, "the first instance is the leader");
        world.cut = Some((2, at(100_000)));
        for node in &mut world.nodes[..2] {
            node.no_store_until = at(100_000);
        }
        world.run(cut_at, cut_at + 6_000);
        let now = at(cut_at + 6_000);
        let next = world
            .nodes
            .iter()
            .filter(|node| node.election.may_promote(now));
        assert_eq!(next.count(), 1, "cut at {cut_at}");
    }
}

/// Failure: two leaders were lost in turn. The third one waited for the first one as if nothing were known of
/// it, 11 s, and used a leaving primary meanwhile.
#[test]
fn the_third_leader_in_a_row_replaces_primaries_in_time() {
    for lost_at in (8_000..9_600).step_by(50) {
        let mut world = World::new(4);
        world.run(1_000, 5_000);
        let first = world.leader(at(5_000)).unwrap();
        world.nodes[first].frozen_until = at(100_000);
        world.run(5_000, lost_at);
        let is_leader = |index: &usize| {
            let election = &world.nodes[*index].election;
            *index != first && election.held_record().is_some()
        };
        let second = (0..COUNT).find(is_leader).unwrap();
        world.nodes[second].frozen_until = at(100_000);
        world.run(lost_at, lost_at + 6_000);
        let now = at(lost_at + 6_000);
        let next = world
            .nodes
            .iter()
            .filter(|node| node.election.may_promote(now));
        assert_eq!(next.count(), 1, "lost at {lost_at}");
    }
}

/// No instance reaches the store: the leader must keep granting leases.
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

/// Partitions, frozen and restarted instances, planned stops, and delayed and lost writes and
/// messages must not let a leader replace a primary that an instance still uses.
#[test]
fn no_leader_replaces_while_a_lease_of_an_earlier_one_is_valid() {
    for seed in 0..300 {
        let mut world = World::new(seed);
        world.is_faulty = true;
        world.run(1_000, 60_000);
    }
}

/// Freezes the leader while requests arrive, and partitions it before it resumes.
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
fn old_acks_in_the_queue_of_a_frozen_leader_do_not_extend_its_rights() {
    freeze_and_cut(&mut World::new(3));
}

/// With the injected fault, the acknowledgements in the queue of the frozen leader extend rights
/// that have expired; the check must detect it.
#[test]
#[should_panic(expected = "has a lease of")]
fn acks_that_count_from_their_arrival_are_detected() {
    let mut world = World::new(3);
    world.uses_arrival_time = true;
    freeze_and_cut(&mut world);
}
