//! A short run of the whole product against the stand-ins.

use std::time::Duration;

use mustardhinge_bench::load::DeploymentName;
use mustardhinge_bench::run::{BenchRun, FaultName, RunPlan};

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_short_run_serves_and_breaks_no_rule() {
    let plan = RunPlan {
        deployment: DeploymentName::Muscat,
        seed: 1,
        duration: Duration::from_secs(2),
        faults: Vec::new(),
        baseline: None,
        priorities: false,
    };
    let outcome = BenchRun::new(plan).run().await.unwrap();
    assert_eq!(outcome.report.violations, []);
    assert!(outcome.report.completed > 0);
    assert!(outcome.report.replica_read_share.is_some());
    assert!(!outcome.history.commits.is_empty());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_leaving_primary_gets_no_new_work_after_the_bound() {
    let plan = RunPlan {
        deployment: DeploymentName::Muscat,
        seed: 1,
        duration: Duration::from_secs(8),
        faults: vec![FaultName::TargetLeaving],
        baseline: None,
        priorities: false,
    };
    let outcome = BenchRun::new(plan).run().await.unwrap();
    assert_eq!(outcome.report.violations, []);
}
