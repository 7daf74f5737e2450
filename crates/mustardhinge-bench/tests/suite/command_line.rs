//! The command line.

use mustardhinge_bench::cli::BenchCommand;
use mustardhinge_bench::load::{DeploymentName, DeploymentProfile};
use mustardhinge_bench::run::{FaultName, ServiceText};
use mustardhinge_config::document::ServiceDocument;

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

/// Guards against a measurement of priorities that ran without them.
#[test]
fn a_run_may_have_priorities() {
    for (line, expected) in [
        ("run --deployment muscat --priorities", true),
        ("run --deployment muscat", false),
    ] {
        let BenchCommand::Run(options) = parse(line).unwrap() else {
            panic!("not parsed as a run");
        };
        assert_eq!(options.plan.priorities, expected);
    }
    let mut profile = DeploymentProfile::of(DeploymentName::Muscat);
    for has_priorities in [true, false] {
        profile.has_priorities = has_priorities;
        let addresses = ["127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"].map(|a| a.parse().unwrap());
        let text = ServiceText::new(&profile, &profile.services[0], &addresses).to_toml();
        let document = ServiceDocument::parse(&text).unwrap();
        assert_eq!(document.has_route_priorities(), has_priorities);
    }
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
