//! Replays of targets whose capacity differs from the listed one. At the load of 0.6, two of the three
//! targets can run all reads, so all of them should be in time.

mod capacity_model;

use capacity_model::{CapacityCase, CapacityModel, Fault, SOUND, SecondFigures};

const SEEDS: u64 = 4;
/// The seconds in which the first target has its fault.
const FAULT: std::ops::Range<usize> = 3..8;
/// The seconds that begin 3 s after its end.
const AFTER: std::ops::Range<usize> = 11..13;
/// Statements that the target may shed in all replays of a fault, for the probes.
const MAX_SHED: usize = 4 * SEEDS as usize * (FAULT.end - FAULT.start);

const SLOW: Fault = Fault {
    slow_factor: 8,
    ..SOUND
};
const SHEDDING: Fault = Fault { limit: 2, ..SOUND };
const FAILING: Fault = Fault {
    fails: 1.0 / 3.0,
    ..SOUND
};

/// All targets, if one of 20 statements has an error of its own.
const ERRING: Fault = Fault {
    fails: 0.05,
    ..SOUND
};
const FAILING_AND_ERRING: Fault = Fault {
    fails: 1.0 / 3.0 + 0.05,
    ..SOUND
};

fn during(fault: Fault, target: usize, now: u64) -> Fault {
    let is_faulty = target == 0 && FAULT.contains(&((now / 1_000) as usize));
    if is_faulty { fault } else { SOUND }
}

fn flapping(fault: Fault, target: usize, now: u64) -> Fault {
    if now % 1_000 < 500 {
        during(fault, target, now)
    } else {
        SOUND
    }
}

/// Sums of several seconds.
#[derive(Debug, Default)]
struct Sums {
    came: usize,
    in_time: usize,
    first: usize,
    sent: usize,
    shed: usize,
    reduced: usize,
}

impl Sums {
    fn add(mut self, second: &SecondFigures) -> Self {
        self.came += second.came;
        self.in_time += second.in_time;
        self.first += second.sent[0];
        self.sent += second.sent.iter().sum::<usize>();
        self.shed += second.shed;
        self.reduced += second.reduced;
        self
    }

    fn in_time_part(&self) -> f64 {
        self.in_time as f64 / self.came as f64
    }

    /// Returns the part of the sent reads that the first target got.
    fn first_part(&self) -> f64 {
        self.first as f64 / self.sent as f64
    }
}

/// Replays a fault with several seeds. Checks that at least 0.95 of the reads are in time and that the
/// first target has its full share 3 s after the end. Returns the sums of the time of the fault.
fn check_bound(name: &str, fault: fn(usize, u64) -> Fault, has_bad_customer: bool) -> Sums {
    let case = CapacityCase {
        load: 0.6,
        fault,
        has_bad_customer,
    };
    let (mut all, mut after) = (Sums::default(), Sums::default());
    for seed in 0..SEEDS {
        let seconds = CapacityModel::replay(case, 14, seed);
        let sums = seconds[FAULT].iter().fold(Sums::default(), Sums::add);
        let in_time = sums.in_time_part();
        // The statements of a bad customer fail whatever the target.
        let bound = if has_bad_customer { 0.95 * 0.95 } else { 0.95 };
        assert!(in_time >= bound, "{name}, seed {seed}: {in_time:.3}");
        all = seconds[FAULT].iter().fold(all, Sums::add);
        after = seconds[AFTER].iter().fold(after, Sums::add);
    }
    let (part, returned) = (all.first_part(), after.first_part());
    let in_time = all.in_time_part();
    eprintln!("{name}: {in_time:.3}, {part:.3}, {returned:.3}, {all:?}");
    assert!(returned >= 0.9 / 3.0, "{name}: {returned:.3} afterwards");
    all
}

/// Guards against reads for a target that is eight times slower while others have free slots, and
/// against one that gets too few when it is as fast as before.
#[test]
fn a_slow_target_gets_few_reads_and_returns() {
    let sums = check_bound("slow", |target, now| during(SLOW, target, now), false);
    assert!(sums.first_part() < 0.12, "{sums:?}");
}

/// Guards against statements for slots that a target doesn't have: it sheds a few for the probes, and
/// gets its part of the capacity, 2 of 12 slots.
#[test]
fn a_shedding_target_gets_what_it_can_run() {
    let sums = check_bound(
        "shedding",
        |target, now| during(SHEDDING, target, now),
        false,
    );
    assert!(sums.shed <= MAX_SHED, "{sums:?}");
    assert!(sums.first_part() < 1.2 * 2.0 / 12.0, "{sums:?}");
}

/// Guards against the usual share for a target that fails a third of its statements.
#[test]
fn a_target_that_fails_a_third_gets_fewer_reads_and_returns() {
    let sums = check_bound("failing", |target, now| during(FAILING, target, now), false);
    assert!(sums.first_part() < 0.15, "{sums:?}");
}

/// Guards against reductions because of one customer whose statements fail everywhere; a twentieth of
/// the reads is its own.
#[test]
fn a_bad_customer_reduces_no_target() {
    let sums = check_bound("bad customer", |_, _| SOUND, true);
    assert_eq!(sums.reduced, 0, "{sums:?}");
}

/// Guards against evidence that outlives each half of a fault that comes and goes every second.
#[test]
fn a_flapping_target_costs_little() {
    check_bound(
        "slow in turn",
        |target, now| flapping(SLOW, target, now),
        false,
    );
    check_bound(
        "failing in turn",
        |target, now| flapping(FAILING, target, now),
        false,
    );
    let sums = check_bound(
        "shedding in turn",
        |target, now| flapping(SHEDDING, target, now),
        false,
    );
    assert!(sums.shed <= MAX_SHED, "{sums:?}");
}

/// Guards against reductions by chance where the statements of all customers fail at a natural rate, and
/// against a margin that hides a faulty target.
#[test]
fn natural_errors_reduce_few_targets() {
    let reductions = |fault: fn(usize, u64) -> Fault| {
        let case = CapacityCase {
            load: 0.6,
            fault,
            has_bad_customer: false,
        };
        let replays = (0..2 * SEEDS).map(|seed| CapacityModel::replay(case, 14, seed));
        let sums = replays.map(|seconds| seconds.iter().fold(Sums::default(), Sums::add));
        sums.map(|sums| sums.reduced).collect::<Vec<_>>()
    };
    let natural = reductions(|_, _| ERRING);
    let faulty = reductions(|target, now| match target {
        0 => during(FAILING_AND_ERRING, 0, now),
        _ => ERRING,
    });
    eprintln!("natural errors: {natural:?}, with a faulty target: {faulty:?}");
    // Of 21 targets of instances in each replay.
    assert!(
        natural.iter().sum::<usize>() <= natural.len(),
        "{natural:?}"
    );
    assert!(faulty.iter().all(|count| *count >= 5), "{faulty:?}");
}
