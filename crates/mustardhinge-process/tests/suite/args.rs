use std::ffi::OsString;

use mustardhinge_process::args::ProcessArgs;

fn parse(arguments: &[&str]) -> anyhow::Result<ProcessArgs> {
    ProcessArgs::parse(arguments.iter().map(OsString::from).collect())
}

#[test]
fn settings_are_required() {
    let error = parse(&[]).unwrap_err();
    assert!(error.to_string().contains("--settings"));
}

#[test]
fn unknown_arguments_are_named() {
    let error = parse(&["--settings", "a.toml", "--colour"]).unwrap_err();
    assert!(error.to_string().contains("--colour"));
}

#[test]
fn check_option_selects_check_mode() {
    let args = parse(&["--check", "--settings", "a.toml"]).unwrap();
    let settings = "a.toml".into();
    assert_eq!(args, ProcessArgs::Check { settings });
}
