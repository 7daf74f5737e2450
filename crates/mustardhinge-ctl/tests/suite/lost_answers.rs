use std::net::SocketAddr;

use tokio::io::{AsyncReadExt, copy, copy_bidirectional};
use tokio::net::{TcpListener, TcpStream};

use crate::scaffold::{TestSite, ctl_at, write_file};

/// Forwards to `upstream`; the first `lost` connections break off as soon as
/// an answer comes.
async fn lose_answers(upstream: SocketAddr, lost: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        for number in 0.. {
            let (mut client, _) = listener.accept().await.unwrap();
            let mut server = TcpStream::connect(upstream).await.unwrap();
            if number >= lost {
                tokio::spawn(async move { copy_bidirectional(&mut client, &mut server).await });
                continue;
            }
            let (mut client_source, _client_sink) = client.split();
            let (mut server_source, mut server_sink) = server.split();
            let mut answer = [0; 1];
            tokio::select! {
                _ = copy(&mut client_source, &mut server_sink) => {}
                _ = server_source.read(&mut answer) => {}
            }
        }
    });
    address
}

#[tokio::test]
async fn a_lost_answer_is_settled_by_sending_the_update_again() {
    let site = TestSite::start().await;
    let address = lose_answers(site.agent.operator_address(), 1).await;
    let path = write_file(&site.document);
    let arguments = ["--json", "apply", path.to_str().unwrap(), "--expect", "0"];
    let result = ctl_at(address, &arguments, "").await.done().json();
    assert_eq!(result["already_applied"], true);
    let in_force = site.platform.object("service", "haulage-1").unwrap();
    assert_eq!(result["version"], in_force.version);
}

#[tokio::test]
async fn an_update_of_unknown_outcome_can_be_repeated_by_name() {
    let site = TestSite::start().await;
    let address = lose_answers(site.agent.operator_address(), 1_000).await;
    let path = write_file(&site.document);
    let arguments = ["--json", "apply", path.to_str().unwrap(), "--expect", "0"];
    let output = ctl_at(address, &arguments, "").await;
    assert_eq!(output.code, Some(1));
    let error = output.json();
    assert_eq!(error["kind"], "outcome_unknown");
    let mut repeated = arguments.to_vec();
    repeated.extend(["--operation", error["operation_id"].as_str().unwrap()]);
    let result = site.ctl(&repeated).await.done().json();
    assert_eq!(result["already_applied"], true);
}

#[tokio::test]
async fn a_switchover_is_sent_once() {
    let site = TestSite::start().await;
    site.apply(&site.document, 0).await.done();
    site.wait_for("a primary", |status| {
        status["groups"][0]["primary"] == "haulage-1-a"
    })
    .await;
    let address = lose_answers(site.agent.operator_address(), 1).await;
    let output = ctl_at(address, &["--json", "switchover", "haulage-1"], "").await;
    assert_eq!(output.code, Some(1));
    assert_eq!(output.json()["kind"], "outcome_unknown");
}
