//! Policies side by side over the loads of the model.

use mustardhinge_bench::model::{FairLine, FirstComeLine, LoadPattern, run_all, run_policy};

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
