use crate::scaffold::{connect, is_stuck, query, start_group, wait_until};

const INSERT: &str = "INSERT INTO t (k, v) VALUES ('a', 'b')";

#[tokio::test]
async fn a_transaction_is_seen_whole_or_not_at_all() {
    let group = start_group().await;
    let (writer, reader) = (connect(group.first()).await, connect(group.first()).await);
    query(&writer, "BEGIN").await.unwrap();
    query(&writer, INSERT).await.unwrap();
    let own = query(&writer, "SELECT v FROM t").await.unwrap();
    assert_eq!(own, [["b"]], "its own change");
    let other = query(&reader, "SELECT v FROM t").await.unwrap();
    assert!(other.is_empty(), "another's open change");
    query(&writer, "COMMIT").await.unwrap();
    assert_eq!(query(&reader, "SELECT v FROM t").await.unwrap(), [["b"]]);
}

#[tokio::test]
async fn a_failed_transaction_takes_nothing_until_its_end() {
    let group = start_group().await;
    let client = connect(group.first()).await;
    query(&client, "BEGIN").await.unwrap();
    query(&client, INSERT).await.unwrap();
    assert_eq!(query(&client, INSERT).await.unwrap_err(), "23505");
    assert_eq!(query(&client, "SELECT 1").await.unwrap_err(), "25P02");
    query(&client, "COMMIT").await.unwrap();
    assert_eq!(group.first().value_of("t", "a"), None);
    query(&client, "SELECT 1").await.unwrap();
}

#[tokio::test]
async fn statements_of_one_message_are_one_transaction() {
    let group = start_group().await;
    let client = connect(group.first()).await;
    let text = format!("{INSERT}; {INSERT}");
    assert_eq!(query(&client, &text).await.unwrap_err(), "23505");
    assert_eq!(group.first().value_of("t", "a"), None);
    let text = format!("{INSERT}; SELECT v FROM t WHERE k = 'a'");
    assert_eq!(query(&client, &text).await.unwrap(), [["b"]]);
}

#[tokio::test]
async fn a_writer_waits_for_the_lock_of_another() {
    let group = start_group().await;
    let (first, second) = (connect(group.first()).await, connect(group.first()).await);
    query(&first, INSERT).await.unwrap();
    query(&first, "BEGIN").await.unwrap();
    query(&first, "UPDATE t SET v = 'c' WHERE k = 'a'")
        .await
        .unwrap();
    let update = query(&second, "UPDATE t SET v = 'd' WHERE k = 'a'");
    tokio::pin!(update);
    assert!(is_stuck(&mut update).await);
    query(&first, "COMMIT").await.unwrap();
    update.await.unwrap();
    assert_eq!(group.first().value_of("t", "a").as_deref(), Some("d"));
}

#[tokio::test]
async fn a_deadlock_is_told_to_one_of_both() {
    let group = start_group().await;
    let (first, second) = (connect(group.first()).await, connect(group.first()).await);
    for (client, key) in [(&first, "x"), (&second, "y")] {
        query(client, "BEGIN").await.unwrap();
        let insert = format!("INSERT INTO t (k, v) VALUES ('{key}', '1')");
        query(client, &insert).await.unwrap();
    }
    let wait = query(&first, "UPDATE t SET v = '2' WHERE k = 'y'");
    tokio::pin!(wait);
    assert!(is_stuck(&mut wait).await);
    let update = query(&second, "UPDATE t SET v = '2' WHERE k = 'x'").await;
    assert_eq!(update.unwrap_err(), "40P01");
    query(&second, "ROLLBACK").await.unwrap();
    wait.await.unwrap();
}

#[tokio::test]
async fn a_caller_that_goes_away_leaves_no_lock() {
    let group = start_group().await;
    let first = connect(group.first()).await;
    query(&first, "BEGIN").await.unwrap();
    query(&first, INSERT).await.unwrap();
    drop(first);
    wait_until("the connection ends", || {
        group.first().open_connections() == 0
    })
    .await;
    let second = connect(group.first()).await;
    query(&second, INSERT).await.unwrap();
}
