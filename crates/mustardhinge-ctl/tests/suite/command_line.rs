use std::net::TcpListener;

use mustardhinge_ctl::args::{CtlCommand, CtlInvocation};
use proptest::prelude::*;

use crate::scaffold::{ctl, ctl_at};

fn parse(line: &str) -> Result<CtlInvocation, String> {
    let arguments = line.split_whitespace().map(Into::into).collect();
    CtlInvocation::parse(arguments).map_err(|error| error.to_string())
}

#[test]
fn commands_and_options_are_parsed() {
    let line = "--agent 127.0.0.1:7001 withdraw-key haulage-1 seeb --json --operation op-1";
    let Ok(CtlInvocation::Run(args)) = parse(line) else {
        panic!("is right");
    };
    assert!(args.is_json);
    assert_eq!(args.agent.unwrap().port(), 7001);
    assert_eq!(args.operation_id.unwrap().as_str(), "op-1");
    assert_eq!(
        args.command,
        CtlCommand::WithdrawKey {
            service: "haulage-1".parse().unwrap(),
            customer: "seeb".parse().unwrap(),
            digest: None,
        }
    );
    let Ok(CtlInvocation::Run(args)) = parse("drain --undo") else {
        panic!("is right");
    };
    assert_eq!(args.command, CtlCommand::DrainInstance { draining: false });
}

#[test]
fn what_is_wrong_is_named() {
    for (line, part) in [
        ("", "COMMAND"),
        ("appply", "appply"),
        ("apply x.toml", "--expect"),
        ("apply x.toml --expect new", "--expect"),
        ("show", "SERVICE"),
        ("show a b", "unknown argument b"),
        ("drain haulage-1", "TARGET"),
        ("status --agent localhost", "--agent"),
        ("withdraw-key s c --digest 12", "--digest"),
        ("explain s r c", "--instance"),
        ("explain s r c --instance nowhere", "--instance"),
        ("explain s r --instance 127.0.0.1:1", "CUSTOMER"),
        (
            "explain s r c --instance 127.0.0.1:1 --write --begin",
            "--begin",
        ),
        ("explain s r c --instance 127.0.0.1:1 --drop", "--drop"),
    ] {
        let error = parse(line).unwrap_err();
        assert!(error.contains(part), "{line:?}: {error}");
    }
}

#[tokio::test]
async fn exit_codes_tell_usage_from_failure() {
    for (arguments, code) in [
        (&["--help"][..], 0),
        (&["--version"], 0),
        (&[], 2),
        (&["status"], 2),
        (&["show", "bad id"], 2),
    ] {
        assert_eq!(ctl(arguments, "").await.code, Some(code), "{arguments:?}");
    }
}

#[tokio::test]
async fn an_agent_that_is_not_there_changed_nothing() {
    let closed = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = closed.local_addr().unwrap();
    drop(closed);
    let output = ctl_at(address, &["switchover", "haulage-1"], "").await;
    assert_eq!(output.code, Some(1));
    assert!(output.stderr.contains("nothing was changed"));
    let output = ctl_at(address, &["--json", "drain"], "").await;
    assert_eq!(output.code, Some(1));
    assert_eq!(output.json()["kind"], "not_run");
}

proptest! {
    #[test]
    fn no_command_line_breaks_the_parser(words in proptest::collection::vec(".{0,12}", 0..8)) {
        let _ = CtlInvocation::parse(words.into_iter().map(Into::into).collect());
    }
}

#[test]
fn every_command_of_the_help_text_stands_in_the_page() {
    let page = include_str!("../../../../docs/COMMAND-LINE.md");
    let commands = mustardhinge_ctl::args::HELP
        .lines()
        .skip_while(|line| *line != "Commands:")
        .skip(1)
        .take_while(|line| !line.is_empty())
        .filter(|line| !line.starts_with("   "));
    let mut count = 0;
    for line in commands {
        let name = line.split_whitespace().next().unwrap();
        assert!(page.contains(&format!("| `{name}")), "{name}");
        count += 1;
    }
    assert_eq!(count, 11);
}
