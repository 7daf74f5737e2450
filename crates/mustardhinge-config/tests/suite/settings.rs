use std::path::Path;

use mustardhinge_config::settings::{AgentSettings, BudgetPolicy, EntrySettings};

const ENTRY: &str = include_str!("../../../../examples/muscat/entry.toml");
const AGENT: &str = include_str!("../../../../examples/muscat/agent.toml");

#[test]
fn entry_settings_are_checked_whole() {
    let text = "instance = 'a b'\nlisten = 'localhost:1'\nmax_callers = 0\ncolour = 1\n";
    let findings = EntrySettings::parse(text).unwrap_err().to_string();
    for expected in [
        "instance",
        "zone: missing",
        "listen",
        "agent",
        "max_callers",
        "colour",
    ] {
        assert!(findings.contains(expected), "{expected} in {findings}");
    }
}

#[test]
fn left_out_settings_take_their_defaults() {
    let text = "instance = 'a'\nzone = 'z'\nlisten = '127.0.0.1:0'\nagent = '127.0.0.1:7000'\n";
    let settings = EntrySettings::parse(text).unwrap();
    assert_eq!(settings.log_level, "info");
    assert_eq!(settings.metrics, None);
    assert_eq!(settings.tls, None);
}

#[test]
fn missing_tls_files_are_found() {
    let text = format!("{ENTRY}\n[tls]\ncertificate = '/no/cert.pem'\n");
    let findings = EntrySettings::parse(&text).unwrap_err().to_string();
    assert!(findings.contains("tls.certificate: /no/cert.pem"));
    assert!(findings.contains("tls.key: missing"));
}

#[test]
fn agent_settings_are_checked_whole() {
    let text = AGENT.replacen("log_level = \"info\"", "log_level = \"loud\"", 1)
        + "\nbudget_policy = 'none'\npeer = 1\n";
    let findings = AgentSettings::parse(&text).unwrap_err();
    assert_eq!(findings.len(), 3, "{findings}");
}

#[test]
fn the_budget_policy_is_selectable() {
    let settings = AgentSettings::parse(&format!("{AGENT}\nbudget_policy = 'static-shares'\n"));
    assert_eq!(settings.unwrap().budget_policy, BudgetPolicy::StaticShares);
    assert_eq!(
        AgentSettings::parse(AGENT).unwrap().budget_policy,
        BudgetPolicy::Escrow
    );
}

#[test]
fn a_missing_file_is_a_finding_that_names_it() {
    let findings = EntrySettings::load(Path::new("/no/entry.toml")).unwrap_err();
    assert!(findings.to_string().contains("/no/entry.toml"));
}
