use std::time::{Duration, Instant};

use mustardhinge_standins::target::{TargetGroup, TargetServer};

use crate::scaffold::{connect, is_stuck, query, start_group, try_connect};

#[tokio::test]
async fn connections_above_the_limit_are_refused() {
    let builder = TargetServer::builder("t").connection_limit(2);
    let group = TargetGroup::start(vec![builder]).await.unwrap();
    let first = connect(group.first()).await;
    let _second = connect(group.first()).await;
    let refused = try_connect(group.first().address()).await.unwrap_err();
    assert_eq!(refused.code().unwrap().code(), "53300");
    drop(first);
    crate::scaffold::wait_until("a connection is free", || {
        group.first().open_connections() == 1
    })
    .await;
    connect(group.first()).await;
}

#[tokio::test]
async fn opening_a_connection_takes_its_time() {
    let delay = Duration::from_millis(80);
    let builder = TargetServer::builder("t").connection_delay(delay);
    let group = TargetGroup::start(vec![builder]).await.unwrap();
    let start = Instant::now();
    connect(group.first()).await;
    assert!(start.elapsed() >= delay);
}

#[tokio::test]
async fn statements_above_the_slots_wait_but_group_calls_do_not() {
    let builder = TargetServer::builder("t").slots(1);
    let group = TargetGroup::start(vec![builder]).await.unwrap();
    let (first, second) = (connect(group.first()).await, connect(group.first()).await);
    let sleep = query(&first, "SELECT pg_sleep(0.4)");
    tokio::pin!(sleep);
    assert!(is_stuck(&mut sleep).await);
    let start = Instant::now();
    query(&second, "SELECT group_report()").await.unwrap();
    assert!(is_stuck(&mut sleep).await, "the slot is still taken");
    let (waited, _) = tokio::join!(query(&second, "SELECT 1"), sleep);
    waited.unwrap();
    assert!(start.elapsed() >= Duration::from_millis(200));
}

#[tokio::test]
async fn a_waiting_writer_takes_no_slot() {
    let builder = TargetServer::builder("t").slots(1);
    let group = TargetGroup::start(vec![builder]).await.unwrap();
    let (first, second) = (connect(group.first()).await, connect(group.first()).await);
    let insert = "INSERT INTO t (k, v) VALUES ('a', 'b') ON CONFLICT DO NOTHING";
    query(&first, "BEGIN").await.unwrap();
    query(&first, insert).await.unwrap();
    let wait = query(&second, insert);
    tokio::pin!(wait);
    assert!(is_stuck(&mut wait).await);
    query(&first, "SELECT 1").await.unwrap();
    query(&first, "COMMIT").await.unwrap();
    wait.await.unwrap();
}

#[tokio::test]
async fn a_cancel_request_ends_the_statement() {
    let group = start_group().await;
    let client = connect(group.first()).await;
    let token = client.cancel_token();
    let sleep = query(&client, "SELECT pg_sleep(60)");
    tokio::pin!(sleep);
    assert!(is_stuck(&mut sleep).await);
    token.cancel_query(tokio_postgres::NoTls).await.unwrap();
    assert_eq!(sleep.await.unwrap_err(), "57014");
    query(&client, "SELECT 1").await.unwrap();
}
