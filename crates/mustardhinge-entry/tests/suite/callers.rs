use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::cluster::{
    TEST_BOUND, caller, connect, detail, haulage, haulage_fleet, sqlstate, start,
};
use mustardhinge_core::membership::IntakeState;
use mustardhinge_fleet::SmallFleet;

#[tokio::test]
async fn bytes_of_another_protocol_end_the_connection() {
    let fleet = haulage_fleet().await;
    let mut stream = TcpStream::connect(fleet.instances[0].address)
        .await
        .unwrap();
    stream.write_all(b"GET / HTTP/1.1\r\n\r\n").await.unwrap();
    let mut answer = Vec::new();
    let read = stream.read_to_end(&mut answer);
    let _ = tokio::time::timeout(TEST_BOUND, read).await.unwrap();
    let client = connect(&caller(fleet.instances[0].address)).await.unwrap();
    client.simple_query("SELECT 1").await.unwrap();
}

#[tokio::test]
async fn a_silent_connection_is_closed_after_the_startup_timeout() {
    let fleet = haulage_fleet().await;
    let mut stream = TcpStream::connect(fleet.instances[0].address)
        .await
        .unwrap();
    let mut answer = Vec::new();
    let read = stream.read_to_end(&mut answer);
    let _ = tokio::time::timeout(TEST_BOUND, read).await.unwrap();
    assert!(answer.is_empty());
}

#[tokio::test]
async fn copy_is_refused_and_the_session_stays_usable() {
    let fleet = haulage_fleet().await;
    let client = connect(&caller(fleet.instances[0].address)).await.unwrap();
    let error = client.simple_query("COPY t FROM STDIN").await.unwrap_err();
    assert_eq!(sqlstate(&error), "0A000");
    assert!(detail(&error).contains("outcome=not_run"));
    client.simple_query("SELECT 1").await.unwrap();
}

#[tokio::test]
async fn an_oversized_statement_is_refused() {
    let mut document = haulage();
    document.limits.max_statement_bytes = 4_096;
    let fleet = start(SmallFleet::builder().service(document)).await;
    let client = connect(&caller(fleet.instances[0].address)).await.unwrap();
    let text = format!("SELECT '{}'", "x".repeat(10_000));
    client.simple_query(&text).await.unwrap_err();
    let other = connect(&caller(fleet.instances[0].address)).await.unwrap();
    other.simple_query("SELECT 1").await.unwrap();
}

#[tokio::test]
async fn a_running_statement_can_be_cancelled() {
    let fleet = haulage_fleet().await;
    let client = connect(&caller(fleet.instances[0].address)).await.unwrap();
    let token = client.cancel_token();
    let cancel = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        token.cancel_query(tokio_postgres::NoTls).await.unwrap();
    };
    let (result, ()) = tokio::join!(client.simple_query("SELECT pg_sleep(4)"), cancel);
    assert_eq!(sqlstate(&result.unwrap_err()), "57014");
}

#[tokio::test]
async fn a_planned_stop_ends_the_requests_it_took() {
    let mut fleet = haulage_fleet().await;
    let client = connect(&caller(fleet.instances[0].address)).await.unwrap();
    let entry = fleet.instances[0].entry.take().unwrap();
    let stop = async {
        tokio::time::sleep(Duration::from_millis(150)).await;
        entry.stop().await;
    };
    let (result, ()) = tokio::join!(client.simple_query("SELECT pg_sleep(0.5)"), stop);
    result.unwrap();
    let error = client.simple_query("SELECT 1").await.unwrap_err();
    assert!(error.is_closed() || detail(&error).contains("reason=instance_draining"));
}

/// Failure: the listener was open until the process ended, so a caller was connected whom nobody answered. A
/// caller gets an answer, or its connection is refused before the stop is over.
#[tokio::test]
async fn no_caller_is_connected_when_a_planned_stop_is_over() {
    let mut fleet = haulage_fleet().await;
    let address = fleet.instances[0].address;
    let entry = fleet.instances[0].entry.take().unwrap();
    let shared = std::sync::Arc::clone(entry.shared());
    // Holds the listener open, as no caller has left yet.
    let waiting = connect(&caller(address)).await.unwrap();
    let callers = async {
        while !shared.is_draining() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let error = connect(&caller(address)).await.err().unwrap();
        assert!(error.is_closed() || detail(&error).contains("reason=instance_draining"));
        drop(waiting);
    };
    let stop = async {
        entry.stop().await;
        shared.intake()
    };
    let (intake, ()) = tokio::join!(stop, callers);
    assert_eq!(intake, IntakeState::Closed);
    assert!(TcpStream::connect(address).await.is_err());
}
