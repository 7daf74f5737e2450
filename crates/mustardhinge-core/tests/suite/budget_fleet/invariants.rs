//! Checks that the limit holds over any window under all faults, and that each
//! mechanism is needed for it.

use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::faults::{FaultRates, InjectedFault};
use super::history::PlainLimit;
use super::plan::WorldPlan;
use super::world::World;
use crate::property_cases::scaled_cases;

const SECOND: u64 = 1_000_000;
/// The greatest clock skew, in thousandths; less than the margin of grants and leases.
const MAX_SKEW: u64 = 25;
const LENGTH: u64 = 40 * SECOND;
/// The time after which a lower limit holds, in microseconds: earlier grants have
/// expired.
const GRANT_EXPIRY: u64 = 1_100_000;
/// Runs within which an injected fault must be detected.
const INJECTED_FAULT_RUNS: u64 = 10;

/// The arrival process of requests.
#[derive(Clone, Copy, Debug)]
enum Load {
    /// At random times, with this many per second.
    Steady(u64),
    /// Bursts of this many requests, every two seconds.
    Bursts(u64),
}

fn requests(load: Load, random: &mut StdRng, entries: usize) -> Vec<(u64, usize, usize)> {
    let mut times: Vec<u64> = Vec::new();
    match load {
        Load::Steady(per_second) => {
            let count = LENGTH * per_second / SECOND;
            times.extend((0..count).map(|_| random.random_range(0..LENGTH)));
        }
        Load::Bursts(count) => {
            for start in (0..LENGTH).step_by(2_000_000) {
                times.extend((0..count).map(|_| start + random.random_range(0..30_000)));
            }
        }
    }
    let entry = |time| (time, random.random_range(0..entries), 0);
    times.into_iter().map(entry).collect()
}

const fn limit(rate: u64, burst: u64) -> PlainLimit {
    PlainLimit { rate, burst }
}

fn plan(seed: u64, load: Load, limits: &[PlainLimit], faults: FaultRates) -> WorldPlan {
    let mut random = StdRng::seed_from_u64(seed);
    let base = WorldPlan::small(seed, LENGTH);
    WorldPlan {
        limits: limits.iter().map(|limit| vec![*limit]).collect(),
        requests: requests(load, &mut random, base.entries),
        faults,
        ..base
    }
}

/// Returns the first time at which more was admitted than allowed.
///
/// Checks the greatest limit over the whole run, and each limit while it was in force
/// on all agents.
fn first_excess(plan: &WorldPlan, world: &World) -> Option<u64> {
    let history = &world.histories[0];
    let all = plan.limits.iter().map(|limits| limits[0]);
    let greatest = PlainLimit {
        rate: all.clone().map(|limit| limit.rate).max().unwrap(),
        burst: all.map(|limit| limit.burst).max().unwrap(),
    };
    let overall = history.first_excess(with_skew(greatest), 0, plan.length);
    let settled = world.settled.iter().filter_map(|(from, revision)| {
        let to = world.changed.get(*revision).copied().unwrap_or(plan.length);
        history.first_excess(
            with_skew(plan.limits[*revision][0]),
            from + GRANT_EXPIRY,
            to,
        )
    });
    overall.into_iter().chain(settled).min()
}

/// Returns the limit as measured by clocks that run fast by the greatest skew.
const fn with_skew(limit: PlainLimit) -> PlainLimit {
    PlainLimit {
        rate: (limit.rate * (1_000 + MAX_SKEW)).div_ceil(1_000),
        ..limit
    }
}

const CHANGING_LIMITS: [PlainLimit; 4] =
    [limit(60, 30), limit(20, 9), limit(90, 12), limit(15, 30)];

/// Returns whether an injected fault causes an excess or an overlap of leases, in runs
/// that have neither without it.
fn is_detected(injected: InjectedFault) -> bool {
    (0..INJECTED_FAULT_RUNS).any(|seed| {
        let mut plan = plan(seed, Load::Bursts(150), &CHANGING_LIMITS, FaultRates::all());
        let baseline = World::run(plan.clone());
        assert_eq!(
            (first_excess(&plan, &baseline), baseline.overlap),
            (None, None)
        );
        plan.injected = injected;
        let world = World::run(plan.clone());
        first_excess(&plan, &world).or(world.overlap).is_some()
    })
}

proptest! {
    #![proptest_config(scaled_cases(24))]

    #[test]
    fn no_window_holds_more_than_burst_and_rate(
        seed in any::<u64>(),
        is_steady in any::<bool>(),
        messages in (0_u32..200, 0_u32..300, 0_u32..300),
        processes in (0_u64..3_000, 0_u64..4_000, 0_u64..9_000, 0..=MAX_SKEW),
        others in (0_u64..12_000, 0_u64..12_000, 0_u64..12_000),
        misdirected_requests in any::<bool>(),
    ) {
        let (loss, duplication, delay) = messages;
        let (pause_ms, crash_ms, leave_ms, skew) = processes;
        let (outage_ms, partition_ms, change_ms) = others;
        let faults = FaultRates {
            loss, duplication, delay, pause_ms, crash_ms, outage_ms, partition_ms, change_ms, misdirected_requests, leave_ms, skew,
        };
        let load = if is_steady { Load::Steady(200) } else { Load::Bursts(150) };
        let plan = plan(seed, load, &CHANGING_LIMITS, faults);
        let world = World::run(plan.clone());
        prop_assert_eq!(first_excess(&plan, &world), None);
        prop_assert_eq!(world.overlap, None);
    }
}

#[test]
fn all_of_the_budget_is_used_without_faults() {
    let plan = plan(
        1,
        Load::Steady(200),
        &CHANGING_LIMITS[..1],
        FaultRates::default(),
    );
    let world = World::run(plan.clone());
    let admitted = world.histories[0].admitted.len();
    // 40 s at 60/s, less the second in which the first ledgers open.
    assert!(admitted > 2_200, "{admitted} admitted");
    assert_eq!(first_excess(&plan, &world), None);
}

#[test]
fn budget_is_used_under_all_faults() {
    let plan = plan(
        2,
        Load::Steady(200),
        &CHANGING_LIMITS[..1],
        FaultRates::all(),
    );
    let admitted = World::run(plan).histories[0].admitted.len();
    assert!(admitted > 300, "{admitted} admitted");
}

#[test]
fn each_mechanism_is_needed() {
    let injected = [
        InjectedFault::LeaseExpiryIgnored,
        InjectedFault::EarlyTakeover,
        InjectedFault::HolderByMembership,
    ];
    let undetected: Vec<_> = injected
        .into_iter()
        .filter(|injected| !is_detected(*injected))
        .collect();
    assert!(undetected.is_empty(), "not found: {undetected:?}");
}
