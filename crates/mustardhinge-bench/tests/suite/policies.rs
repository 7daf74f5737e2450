//! Policies side by side over the loads of the model.

use mustardhinge_bench::model::{
    FairLine, FirstComeLine, LoadPattern, PlacementCase, PlacementFigures, PlacementPolicy,
    QueueCase, run_all, run_placement, run_policy, run_queues,
};

#[test]
fn a_seed_gives_the_same_figures_and_the_same_statements_to_all() {
    for pattern in LoadPattern::ALL {
        let figures = run_all(pattern, 7);
        assert_eq!(figures, run_all(pattern, 7), "{pattern}");
        for other in &figures {
            assert_eq!(other.came, figures[0].came, "{pattern}");
            let ended = other.in_time + other.late + other.refused_early + other.refused_late;
            assert_eq!(ended, other.came, "{other}");
        }
    }
}

/// Nine tenths of what the servers could do in the time that connections leave.
#[test]
fn the_fair_line_answers_nearly_all_that_can_be_answered() {
    for pattern in LoadPattern::ALL {
        for seed in 0..5 {
            let figures = run_policy::<FairLine>(pattern, seed);
            let part = figures.part_without_opening();
            assert!(part >= 0.9, "seed {seed}: {part:.2}\n{figures}");
        }
    }
}

/// Three refusals of four come at once: a caller that is refused late has waited for nothing.
#[test]
fn the_fair_line_refuses_at_once() {
    for pattern in [LoadPattern::Burst, LoadPattern::Flood] {
        for seed in 0..5 {
            let figures = run_policy::<FairLine>(pattern, seed);
            let refused = figures.refused_early + figures.refused_late;
            assert!(
                figures.refused_late * 4 <= refused,
                "seed {seed}\n{figures}"
            );
        }
    }
}

/// A flood of one customer costs the others less than a line without turns does.
#[test]
fn a_flood_costs_others_less_than_without_turns() {
    for seed in 0..5 {
        let fair = run_policy::<FairLine>(LoadPattern::Flood, seed);
        let first_come = run_policy::<FirstComeLine>(LoadPattern::Flood, seed);
        assert!(
            fair.worst_customer() > first_come.worst_customer(),
            "seed {seed}\n{fair}\n{first_come}"
        );
    }
}

/// Returns the figures of the four policies for each number of instances and age of the reports.
fn placement_groups(case: PlacementCase) -> Vec<[PlacementFigures; 4]> {
    let figures = run_placement(case, 3);
    let groups = figures.chunks(PlacementPolicy::ALL.len());
    groups
        .map(|group| group.to_vec().try_into().unwrap())
        .collect()
}

/// Guards against targets that are overloaded in turn because all instances follow the same
/// reports, and against a choice that gains nothing from them.
#[test]
fn free_capacity_leaves_fewer_slots_idle_than_other_policies() {
    for group in placement_groups(PlacementCase::Even) {
        let [least_loaded, two, power, free] = &group;
        assert!(free.in_time() >= 0.99, "{free}");
        assert!(free.spread() <= two.spread(), "{free}\n{two}");
        assert!(
            free.spread() <= least_loaded.spread(),
            "{free}\n{least_loaded}"
        );
        // Reports that are too old to be used leave a choice by power.
        assert!(free.spread() <= power.spread() * 1.05, "{free}\n{power}");
        if free.report_ms == 50 {
            assert!(free.idle() <= power.idle() * 0.95, "{free}\n{power}");
        }
    }
}

/// Guards against a slow target that gets as much as the others.
#[test]
fn free_capacity_suits_targets_of_different_speed() {
    for [least_loaded, _, _, free] in placement_groups(PlacementCase::UnevenSpeeds) {
        assert!(free.in_time() >= 0.99, "{free}");
        assert!(
            free.spread() <= least_loaded.spread(),
            "{free}\n{least_loaded}"
        );
    }
}

/// Guards against bytes between zones beyond the demand of the zone without a target, which is a
/// quarter of all.
#[test]
fn free_capacity_crosses_zones_only_where_it_must() {
    for [.., free] in placement_groups(PlacementCase::UnevenZones) {
        assert!(free.in_time() >= 0.99, "{free}");
        let other_zone = f64::from(free.other_zone) / f64::from(free.came);
        assert!(other_zone <= 0.3, "{free}");
    }
}

/// Guards against a highest priority that waits behind cheap floods or costly reads, and a lowest
/// one that starves. Customers whose work is of a low priority may get less than in the fair queue.
#[test]
fn the_priority_queue_serves_by_priority_and_starves_nobody() {
    for case in QueueCase::ALL {
        for seed in 0..5 {
            let [fair, by_priority] = &run_queues(case, seed)[..] else {
                panic!("two queues");
            };
            let shown = format!("seed {seed}\n{fair}\n{by_priority}");
            assert_eq!(fair.offered(), by_priority.offered(), "{shown}");
            assert!(by_priority.in_time(0) >= 0.98, "{shown}");
            assert!(by_priority.in_time(0) >= fair.in_time(0), "{shown}");
            assert!(by_priority.in_time(2) >= 1.0 / 16.0, "{shown}");
            assert!(by_priority.late < fair.late, "{shown}");
            assert!(by_priority.refused_late * 4 <= fair.refused_late, "{shown}");
        }
    }
}
