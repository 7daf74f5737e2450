//! Reports, figures, comparison and plots.

use std::time::Duration;

use mustardhinge_bench::history::{CustomerLimit, FaultMark};
use mustardhinge_bench::plot::plot_history;
use mustardhinge_bench::report::{FigureComparison, RunFigures, RunReport, find_failover_gap};
use mustardhinge_core::prelude::*;

use crate::builders::*;

#[test]
fn a_figure_that_a_run_does_not_yield_is_null() {
    let line = serde_json::to_value(RunReport::default()).unwrap();
    for name in ["replica_read_share", "failover_gap_ms", "control_cpu_share"] {
        assert!(line[name].is_null(), "{name}");
    }
    let back: RunReport = serde_json::from_value(line).unwrap();
    assert_eq!(back, RunReport::default());
}

#[test]
fn a_comparison_leaves_out_the_runs_without_the_figure() {
    let report = |share| RunReport {
        replica_read_share: share,
        ..RunReport::default()
    };
    let left = [report(Some(0.5)), report(None), report(Some(0.7))];
    let comparison = FigureComparison::new(&left, &[report(None)]);
    let (left, right) = comparison.get_figure("replica_read_share").unwrap();
    let left = left.unwrap();
    assert_eq!((left.runs, left.min, left.max), (2, 0.5, 0.7));
    assert_eq!(right, None);
}

#[test]
fn a_refusal_is_wrongful_only_inside_the_fleet_wide_rate() {
    let mut refused_early = operation(1, (0, 1), read("k", true));
    refused_early.result = not_run("rate_exceeded");
    let taken = operation(2, (1, 2), read("k", true));
    let mut refused_late = operation(3, (2, 3), read("k", true));
    refused_late.result = not_run("rate_exceeded");
    let mut history = history(vec![refused_early, taken, refused_late], Vec::new());
    history.limits.push(CustomerLimit {
        service: id("haulage"),
        customer: id("c-1"),
        rate: "1/s".parse().unwrap(),
        burst: "1req".parse().unwrap(),
    });
    let figures = RunFigures::of(&history);
    assert_eq!(figures.wrongful_refusals, 1);
    assert_eq!(figures.customers[0].goodput, Some(0.5));
}

#[test]
fn plots_show_the_fault() {
    let mut history = history(vec![operation(1, (0, 900), write("k", "v"))], Vec::new());
    history.faults.push(FaultMark {
        fault: "primary-kill".to_owned(),
        began: true,
        at: MonotonicTime::from_millis(500),
    });
    let folder = std::env::temp_dir().join(format!("mustardhinge-plot-{}", std::process::id()));
    let paths = plot_history(&history, &folder).unwrap();
    for path in &paths {
        let svg = std::fs::read_to_string(path).unwrap();
        assert!(svg.contains("seconds"), "{}", path.display());
    }
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn a_customers_latency_is_that_of_its_slow_requests() {
    let operations = vec![operation(1, (0, 900), read("k", true))];
    let mut history = history(operations, Vec::new());
    history.limits.push(CustomerLimit {
        service: id("haulage"),
        customer: id("c-1"),
        rate: "1/s".parse().unwrap(),
        burst: "1req".parse().unwrap(),
    });
    let p99 = RunFigures::of(&history).customers[0].p99.unwrap();
    assert!((890..=910).contains(&p99.as_millis()), "{p99:?}");
}

#[test]
fn the_failover_gap_ends_with_the_load() {
    let mut waits_in_vain = operation(3, (1_300, 7_000), write("k", "z"));
    waits_in_vain.result = not_run("no_primary");
    let operations = vec![
        operation(1, (900, 1_000), write("k", "v")),
        operation(2, (1_200, 1_250), write("k", "w")),
        waits_in_vain,
    ];
    let mut history = history(operations, Vec::new());
    history.limits.push(CustomerLimit {
        service: id("haulage"),
        customer: id("c-1"),
        rate: "1/s".parse().unwrap(),
        burst: "1req".parse().unwrap(),
    });
    let gap = find_failover_gap(&history, MonotonicTime::from_millis(950));
    assert_eq!(gap, Some(Duration::from_millis(250)));
}
