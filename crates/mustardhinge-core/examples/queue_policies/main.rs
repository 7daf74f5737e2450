//! Compares the fair queue in front of targets with a first-come queue.
//!
//! Eight customers send statements to a group of three targets. Up to two of them
//! send five times as many as the others. Prints a table, which is the same for the
//! same seed. Run it with:
//!
//! ```text
//! cargo run --release -p mustardhinge-core --example queue_policies -- 1
//! ```

mod first_come;
mod run;

use first_come::FirstCome;
use mustardhinge_core::queue::{FairQueue, QueueLimits};
use run::{Load, Outcome, SERVICE_TIME};

fn main() {
    let seed = std::env::args().nth(1).and_then(|text| text.parse().ok());
    let seed = seed.unwrap_or(1);
    println!("seed {seed}");
    println!(
        "| slots | flooding | target down | queue | worst goodput | median | worst p99 | median |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for slots in [5, 2] {
        for flooding in [0, 1, 2] {
            for is_target_down in [false, true] {
                let load = Load {
                    seed,
                    slots,
                    flooding,
                    is_target_down,
                };
                let limits = QueueLimits::new().slots(3 * slots);
                let limits = limits.initial_service_time(SERVICE_TIME);
                print(&load, "fair", &load.run(&mut FairQueue::new(limits)));
                print(&load, "first-come", &load.run(&mut FirstCome::default()));
            }
        }
    }
}

/// Prints the worst and the median result of the customers that do not flood.
fn print(load: &Load, queue: &str, outcomes: &[Outcome]) {
    let quiet = &outcomes[load.flooding..];
    let mut goodput: Vec<f64> = quiet.iter().map(Outcome::goodput).collect();
    let mut p99: Vec<f64> = quiet.iter().map(Outcome::p99_ms).collect();
    goodput.sort_by(f64::total_cmp);
    p99.sort_by(f64::total_cmp);
    let middle = quiet.len() / 2;
    println!(
        "| {} | {} | {} | {queue} | {:.1} % | {:.1} % | {:.0} ms | {:.0} ms |",
        load.slots,
        load.flooding,
        load.is_target_down,
        100.0 * goodput[0],
        100.0 * goodput[middle],
        p99[p99.len() - 1],
        p99[middle],
    );
}
