//! The command line.

use mustardhinge_bench::cli::BenchCommand;
use mustardhinge_bench::run::FaultName;

fn parse(line: &str) -> anyhow::Result<BenchCommand> {
    BenchCommand::parse(line.split_whitespace().map(Into::into).collect())
}

#[test]
fn a_run_may_have_two_faults() {
    let line = "run --deployment muscat --seed 4 --fault store-down,primary-kill --json";
    let BenchCommand::Run(options) = parse(line).unwrap() else {
        panic!("not parsed as a run");
    };
    assert_eq!(
        options.plan.faults,
        [FaultName::StoreDown, FaultName::PrimaryKill]
    );
    assert!(options.json);
}

#[test]
fn unknown_faults_deployments_and_options_are_errors() {
    for line in [
        "run --deployment sohar",
        "run --deployment muscat --fault earthquake",
        "run --deployment muscat --baseline none",
        "run --deployment muscat --duration 1h",
        "run --deployment muscat --verbose",
        "run",
        "fly",
    ] {
        assert!(parse(line).is_err(), "{line}");
    }
}
