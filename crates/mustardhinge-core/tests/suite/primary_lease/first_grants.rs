//! Replay of instances that request their first leases together from a leader with a slow link.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use mustardhinge_core::prelude::{InstanceId, LeaderTerm, ServiceId};
use mustardhinge_core::primary_lease::{
    EpochDigest, GrantLimit, GroupEpoch, GroupLeases, HeldLeases, LeaseDemand, LeaseResponse,
    LeaseSettings,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::{at, id};

/// A third of 300 instances, with a third of the leader's link.
const INSTANCES: usize = 100;
const GROUPS: usize = 700;
/// Groups that callers request from each instance.
const WANTED: usize = 10;
const LEASE: Duration = Duration::from_millis(2_000);
/// A third of 10 Mbit/s, in bytes per millisecond.
const LINK_BYTES: f64 = 417.0;
/// Time for which the link queues messages before it drops them, in milliseconds.
const LINK_QUEUE: f64 = 200.0;
/// Estimated sizes in bytes of a response without groups, a group and a part of the digest.
const SIZES: (f64, f64, f64) = (250.0, 34.0, 9.5);
const DURATION: u64 = 8_000;

struct Replay {
    groups: HashMap<ServiceId, GroupLeases>,
    instances: Vec<(InstanceId, HeldLeases, Vec<ServiceId>)>,
    link_free_at: f64,
    bytes: f64,
    is_split: bool,
}

impl Replay {
    fn new(is_split: bool) -> Self {
        let mut random = SmallRng::seed_from_u64(1);
        let service = |index: usize| -> ServiceId { id(&format!("svc-{index}")) };
        let groups = (0..GROUPS).map(|index| {
            let (epoch, primary) = (GroupEpoch::new(1), id(&format!("t-{index}")));
            let group = GroupLeases::new(service(index), epoch, primary, LeaderTerm::new(1));
            (service(index), group)
        });
        let instances = (0..INSTANCES).map(|index| {
            let wanted = (0..WANTED).map(|_| service(random.random_range(0..GROUPS)));
            (
                id(&format!("i-{index}")),
                HeldLeases::default(),
                wanted.collect(),
            )
        });
        Self {
            groups: groups.collect(),
            instances: instances.collect(),
            link_free_at: 0.0,
            bytes: 0.0,
            is_split,
        }
    }

    /// Handles a request. Returns the response and when it arrives, unless the link drops it.
    fn request(&mut self, index: usize, now: u64) -> Option<(u64, LeaseResponse)> {
        let (instance, leases, wanted) = &self.instances[index];
        let known = if self.is_split {
            leases.request_digest(GROUPS)
        } else {
            leases.digest()
        };
        let demand = LeaseDemand {
            instance,
            known: &known,
            wanted: wanted.iter().collect(),
            limit: if self.is_split {
                GrantLimit::for_instances(INSTANCES * 3, &LeaseSettings::default())
            } else {
                GrantLimit::NONE
            },
        };
        let mut response = LeaseResponse::grant(&mut self.groups, &demand, LEASE, at(now));
        if !self.is_split {
            // As before grants were split: the first 400 groups in the order of their keys.
            let changed = &mut response.changed;
            changed.sort_by_key(|grant| EpochDigest::sort_key(&grant.service));
            changed.truncate(400);
        }
        let (head, group, part) = SIZES;
        let parts = format!("{:?}", response.digest).replace("EpochDigest", "");
        let parts = parts
            .split(',')
            .filter(|text| text.trim_matches(['(', ')', '[', ']', ' ']) != "0");
        let parts = parts.count() as f64;
        let size = head + group * response.changed.len() as f64 + part * parts;
        let starts = self.link_free_at.max(now as f64);
        if starts - now as f64 > LINK_QUEUE {
            return None;
        }
        self.link_free_at = starts + size / LINK_BYTES;
        self.bytes += size;
        Some((self.link_free_at.ceil() as u64 + 10, response))
    }

    /// Returns the parts of the wanted and of all leases that are held, for each second.
    fn run(&mut self) -> Vec<[f64; 2]> {
        let interval = LeaseSettings::default().urgent_request_interval(INSTANCES * 3);
        let interval = interval.as_millis() as u64;
        let mut arriving: Vec<(u64, usize, u64, LeaseResponse)> = Vec::new();
        let mut shares = Vec::new();
        for now in 0..DURATION {
            for index in 0..INSTANCES {
                if now % interval == (index as u64 * 97) % interval
                    && let Some((arrives, response)) = self.request(index, now)
                {
                    arriving.push((arrives, index, now, response));
                }
            }
            let (due, rest) = arriving
                .into_iter()
                .partition(|(arrives, ..)| *arrives <= now);
            arriving = rest;
            let due: Vec<(u64, usize, u64, LeaseResponse)> = due;
            for (_, index, requested_at, response) in due {
                let leases = &mut self.instances[index].1;
                let sent: HashSet<_> = response
                    .changed
                    .iter()
                    .map(|grant| &grant.service)
                    .collect();
                leases.renew(&response.digest, &sent, at(requested_at), LEASE);
                for grant in &response.changed {
                    leases.accept(grant, at(requested_at), LEASE, at(now));
                }
            }
            if now % 1_000 == 999 {
                shares.push(self.shares(now));
            }
        }
        shares
    }

    fn shares(&self, now: u64) -> [f64; 2] {
        let mut held = [0, 0];
        for (_, leases, wanted) in &self.instances {
            let is_held = |service: &&ServiceId| leases.usable(service, at(now)).is_some();
            held[0] += wanted.iter().filter(is_held).count();
            held[1] += self.groups.keys().filter(is_held).count();
        }
        let all = INSTANCES as f64;
        [
            held[0] as f64 / all / WANTED as f64,
            held[1] as f64 / all / GROUPS as f64,
        ]
    }
}

/// Guards against callers that wait for seconds because the leader's link carries leases that
/// nobody requested.
#[test]
fn wanted_leases_are_granted_within_a_second() {
    let run = |is_split| {
        let mut replay = Replay::new(is_split);
        let shares = replay.run();
        eprintln!("split: {is_split}, {:.0} bytes, {shares:.2?}", replay.bytes);
        shares
    };
    assert!(run(false)[1][0] < 0.5, "the replay has no bottleneck");
    let split = run(true);
    assert!(
        split[0][0] > 0.9 && split.iter().all(|[wanted, _]| *wanted > 0.8),
        "{split:?}"
    );
    assert!(
        split.is_sorted_by(|before, after| before[1] < after[1]),
        "{split:?}"
    );
}
