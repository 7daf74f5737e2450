//! Compares policies that enforce customers' rates across a fleet.
//!
//! Compares escrow with shares per zone, the policy of mustardhinge, with a static
//! share per instance and with one central counter. Prints a table that depends only
//! on the seed. Run it with
//!
//! ```text
//! cargo run --release -p mustardhinge-core --example budget_policies -- 1
//! ```

#[path = "../../tests/suite/budget_fleet/agent.rs"]
#[allow(dead_code, reason = "the tests use more of it")]
mod agent;
#[path = "../../tests/suite/budget_fleet/customer_side.rs"]
mod customer_side;
#[path = "../../tests/suite/budget_fleet/entry.rs"]
mod entry;
#[path = "../../tests/suite/budget_fleet/event.rs"]
#[allow(dead_code, reason = "the tests use more of it")]
mod event;
#[path = "../../tests/suite/budget_fleet/faults.rs"]
#[allow(dead_code, reason = "the tests use more of it")]
mod faults;
#[path = "../../tests/suite/budget_fleet/history.rs"]
mod history;
#[path = "../../tests/suite/budget_fleet/object_store.rs"]
mod object_store;
#[path = "../../tests/suite/budget_fleet/plan.rs"]
mod plan;
#[path = "../../tests/suite/budget_fleet/skewed_clock.rs"]
mod skewed_clock;
#[path = "../../tests/suite/budget_fleet/world/mod.rs"]
#[allow(dead_code, reason = "the tests use more of it")]
mod world;

mod baselines;
mod report;
mod scenario;

use scenario::Scenario;
use world::World;

fn main() {
    let seed = std::env::args().nth(1).and_then(|text| text.parse().ok());
    let seed = seed.unwrap_or(1);
    println!("seed {seed}");
    println!("| scenario | policy | requests | refused | wrongfully | worst-served | excess |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for scenario in Scenario::all(seed) {
        let world = World::run(scenario.plan());
        assert_eq!(world.overlap, None, "two agents hold the same share");
        report::print(&scenario, "escrow", &world.histories);
        report::print(&scenario, "static", &baselines::run_static(&scenario));
        report::print(&scenario, "central", &baselines::run_central(&scenario));
        let seconds = scenario.length as f64 / 1e6;
        let writes = world.store.writes as f64 / seconds;
        let ledger_requests = world.ledger_requests as f64 / seconds;
        println!(
            "| | escrow: {ledger_requests:.0} messages/s, {writes:.2} store writes/s | | | | | |"
        );
    }
}
