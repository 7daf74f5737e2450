//! Shipped traces and the comparison with their expected outcomes.

use std::path::{Path, PathBuf};

use mustardhinge_bench::trace::{ReplayStep, compare_steps, read_steps, replay_trace};

fn trace_folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("traces")
}

fn list_traces() -> Vec<PathBuf> {
    let entries = std::fs::read_dir(trace_folder()).unwrap();
    let paths = entries.map(|entry| entry.unwrap().path());
    paths
        .filter(|path| path.to_string_lossy().ends_with(".trace.jsonl"))
        .collect()
}

fn expected_path(trace: &Path) -> PathBuf {
    trace
        .to_string_lossy()
        .replace(".trace.", ".expect.")
        .into()
}

#[test]
fn every_shipped_trace_has_its_expected_outcomes() {
    let traces = list_traces();
    assert!(!traces.is_empty());
    for trace in traces {
        let found = replay_trace(&trace).unwrap();
        let expected = read_steps(&expected_path(&trace)).unwrap();
        let differences = compare_steps(&expected, &found);
        assert!(
            differences.is_empty(),
            "{}: {differences:#?}",
            trace.display()
        );
    }
}

#[test]
fn an_action_that_was_not_expected_is_a_difference() {
    let step = |action: &str| ReplayStep {
        at_us: 10,
        actions: vec![action.to_owned()],
    };
    let differences = compare_steps(&[step("a")], &[step("b")]);
    assert_eq!(differences.len(), 1);
    assert_eq!(compare_steps(&[step("a")], &[]).len(), 1);
    assert_eq!(compare_steps(&[step("a")], &[step("a")]), []);
}

#[test]
fn a_trace_of_another_version_is_refused() {
    let path = std::env::temp_dir().join(format!("trace-{}.jsonl", std::process::id()));
    let header = r#"{"format":"mustardhinge-trace","version":2,"decision":"x","setup":{}}"#;
    std::fs::write(&path, format!("{header}\n")).unwrap();
    let error = replay_trace(&path).unwrap_err();
    std::fs::remove_file(&path).unwrap();
    assert!(format!("{error:#}").contains("version 2"), "{error:#}");
}
