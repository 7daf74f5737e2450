use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::thread;

use mustardhinge_core::placement::ZoneRegions;
use mustardhinge_core::prelude::InstanceId;
use mustardhinge_core::primary_lease::LeaderElection;
use mustardhinge_ctl::args::{CtlCommand, CtlInvocation};
use mustardhinge_platform_adapter::explain::serve_explain;
use mustardhinge_platform_adapter::store::read_config;
use mustardhinge_resident::node::{NodeSettingsBuilder, NodeState};
use serde_json::json;
use tokio::task::LocalSet;

use crate::scaffold::ctl;

/// A configuration with one service, one route and one customer.
fn configuration() -> String {
    json!({
        "version": 7,
        "routes": [{"name": "rides", "database": "db1", "route_kind": "primary",
                    "timeout_ms": 1_000, "latency_goal_ms": 200, "backend": "svc"}],
        "services": [{"name": "svc", "max_conns": 33}],
        "tenants": [{"name": "seeb", "api_keys": ["k1"], "rate_per_s": 127, "burst": 100}],
    })
    .to_string()
}

/// Serves the explain address of an instance without a leader on a thread of its own.
fn start_instance(has_configuration: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let unused = ([127, 0, 0, 1], 9).into();
        let instance: InstanceId = "front-1".parse().unwrap();
        let zone = "z1".parse().unwrap();
        let settings = NodeSettingsBuilder::new(instance.clone(), zone, unused, unused).build();
        let election = LeaderElection::new(instance, 1, unused, 0);
        let node = Rc::new(NodeState::new(settings, election, 1));
        if has_configuration {
            let plan = read_config(configuration().as_bytes(), &ZoneRegions::default()).unwrap();
            node.adopt_plan(plan, "test");
        }
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .unwrap();
        LocalSet::new().block_on(&runtime, async move {
            let listener = tokio::net::TcpListener::from_std(listener).unwrap();
            serve_explain(node, listener).await;
        });
    });
    address
}

#[test]
fn the_request_of_explain_is_parsed() {
    let line = "explain svc rides seeb --begin --instance 127.0.0.1:7001 --json";
    let arguments = line.split_whitespace().map(Into::into).collect();
    let Ok(CtlInvocation::Run(args)) = CtlInvocation::parse(arguments) else {
        panic!("is right");
    };
    let CtlCommand::Explain { instance, query } = args.command else {
        panic!("is explain");
    };
    assert!(args.is_json);
    assert_eq!(instance.port(), 7001);
    assert_eq!(
        (query.route.as_str(), query.kind.to_string()),
        ("rides", "begin".to_owned())
    );
}

/// Guards against an exit code that reports a refused request as a failed command, and against
/// tables that leave out a step.
#[tokio::test]
async fn a_refused_request_is_explained_in_tables() {
    let address = start_instance(true).to_string();
    let arguments = ["explain", "--instance", &address, "svc", "rides", "seeb"];
    let text = ctl(&arguments, "").await.done().stdout;
    for part in [
        "read of seeb on route rides of svc: refuse, reason rate_exceeded",
        "front-1",
        "step",
        "configuration",
        "rate",
        "lease",
        "targets",
        "gateways",
        "waits",
        "admission",
        "floor",
        "probability",
    ] {
        assert!(text.contains(part), "{part}: {text}");
    }
    assert!(!text.contains("k1"), "keys are not printed: {text}");
}

#[tokio::test]
async fn explain_prints_json_for_programs() {
    let address = start_instance(true).to_string();
    let arguments = [
        "--json",
        "explain",
        "--instance",
        &address,
        "svc",
        "db1",
        "seeb",
        "--write",
    ];
    let json = ctl(&arguments, "").await.done().json();
    assert_eq!(json["kind"], "write");
    assert_eq!(json["reason"], "rate_exceeded");
    assert_eq!(json["steps"][0]["step"], "configuration");
    assert_eq!(
        json["steps"][2]["state"], "unknown",
        "no leader granted a lease"
    );
}

#[tokio::test]
async fn an_instance_without_a_configuration_answers() {
    let address = start_instance(false).to_string();
    let arguments = ["explain", "--instance", &address, "svc", "rides", "seeb"];
    let text = ctl(&arguments, "").await.done().stdout;
    assert!(
        text.contains("unknown") && text.contains("service_unknown"),
        "{text}"
    );
}

/// Guards against a script that can't tell a wrong name from an unreachable instance.
#[tokio::test]
async fn exit_codes_of_explain_tell_usage_from_failure() {
    let address = start_instance(true).to_string();
    for (names, field) in [
        (["other", "rides", "seeb"], "service"),
        (["svc", "other", "seeb"], "route"),
        (["svc", "rides", "other"], "customer"),
    ] {
        let arguments = [&["explain", "--instance", &address][..], &names].concat();
        let output = ctl(&arguments, "").await;
        assert_eq!(output.code, Some(2), "{names:?}");
        assert!(output.stderr.contains(field), "{}", output.stderr);
    }
    let closed = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = closed.local_addr().unwrap().to_string();
    drop(closed);
    let arguments = [
        "--json",
        "explain",
        "--instance",
        &address,
        "svc",
        "rides",
        "seeb",
    ];
    let output = ctl(&arguments, "").await;
    assert_eq!(output.code, Some(1));
    assert_eq!(output.json()["kind"], "not_run");
}
