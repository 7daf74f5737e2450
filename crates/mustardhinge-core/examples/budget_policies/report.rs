//! The report of one run.

use crate::history::{AdmissionHistory, PlainLimit};
use crate::scenario::{SECOND, Scenario, WARM_UP};

/// Prints a row of the table.
pub(crate) fn print(scenario: &Scenario, policy: &str, histories: &[AdmissionHistory]) {
    let (mut requests, mut refused, mut wrongful, mut excess) = (0, 0, 0, 0);
    let mut worst = f64::MAX;
    for (history, limit) in histories.iter().zip(&scenario.limits) {
        let admitted = after_warm_up(&history.admitted);
        let all_refused = after_warm_up(&history.refused);
        let wrongly = wrongful_refusals(history, *limit);
        requests += admitted + all_refused;
        refused += all_refused;
        wrongful += wrongly;
        worst = worst.min(admitted as f64 / (admitted + wrongly) as f64);
        excess += usize::from(history.first_excess(*limit, 0, scenario.length).is_some());
    }
    let share = 100.0 * wrongful as f64 / requests as f64;
    println!(
        "| {} | {policy} | {requests} | {refused} | {wrongful} ({share:.2} %) | {:.1} % | {excess} |",
        scenario.name,
        100.0 * worst
    );
}

/// Counts the refused requests that the limit would have allowed in addition to the
/// admitted ones.
fn wrongful_refusals(history: &AdmissionHistory, limit: PlainLimit) -> usize {
    let mut events: Vec<(u64, bool)> = Vec::new();
    events.extend(history.admitted.iter().map(|time| (*time, true)));
    events.extend(history.refused.iter().map(|time| (*time, false)));
    events.sort_unstable();
    // All policies start without budget, so the reference starts without it too.
    let (mut level, mut last, mut wrongful) = (limit.burst * SECOND, 0, 0);
    for (time, is_admission) in events {
        level = level.saturating_sub((time - last) * limit.rate);
        last = time;
        let is_wrongful = !is_admission && level + SECOND <= limit.burst * SECOND;
        if is_admission || is_wrongful {
            level += SECOND;
        }
        if is_wrongful && time >= WARM_UP {
            wrongful += 1;
        }
    }
    wrongful
}

fn after_warm_up(times: &[u64]) -> usize {
    times.iter().filter(|time| **time >= WARM_UP).count()
}
