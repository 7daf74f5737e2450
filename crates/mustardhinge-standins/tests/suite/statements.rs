use mustardhinge_standins::target::RecordedOutcome;
use mustardhinge_standins::target::statement::{SqlStatement, TextOperand, parse_statements};
use proptest::prelude::*;

use crate::scaffold::{connect, query, start_group};

#[tokio::test]
async fn rows_are_written_and_read() {
    let group = start_group().await;
    let client = connect(group.first()).await;
    assert_eq!(query(&client, "SELECT 1").await.unwrap(), [["1"]]);
    query(&client, "INSERT INTO sites (k, v) VALUES ('a', 'it''s')")
        .await
        .unwrap();
    query(
        &client,
        "/*route='x'*/ UPDATE sites SET v = 'c' WHERE k = 'a'",
    )
    .await
    .unwrap();
    query(&client, "INSERT INTO sites (k, v) VALUES ('b', 'd')")
        .await
        .unwrap();
    let rows = query(&client, "SELECT k, v FROM sites").await.unwrap();
    assert_eq!(rows, [["a", "c"], ["b", "d"]]);
    query(&client, "DELETE FROM sites WHERE k = 'a'")
        .await
        .unwrap();
    let rows = query(&client, "SELECT v FROM sites WHERE k = 'a'").await;
    assert!(rows.unwrap().is_empty());
}

#[tokio::test]
async fn the_extended_protocol_takes_text_parameters() {
    let group = start_group().await;
    let client = connect(group.first()).await;
    let insert = "INSERT INTO sites (k, v) VALUES ($1, $2) ON CONFLICT DO NOTHING";
    let insert = client.prepare(insert).await.unwrap();
    assert_eq!(client.execute(&insert, &[&"a", &"1"]).await.unwrap(), 1);
    assert_eq!(client.execute(&insert, &[&"a", &"2"]).await.unwrap(), 0);
    let select = "SELECT v FROM sites WHERE k = $1";
    let rows = client.query(select, &[&"a"]).await.unwrap();
    assert_eq!(rows[0].get::<_, String>(0), "1");
}

#[tokio::test]
async fn errors_name_their_sqlstate() {
    let group = start_group().await;
    let client = connect(group.first()).await;
    let insert = "INSERT INTO sites (k, v) VALUES ('a', 'b')";
    query(&client, insert).await.unwrap();
    assert_eq!(query(&client, insert).await.unwrap_err(), "23505");
    assert_eq!(query(&client, "VACUUM").await.unwrap_err(), "42601");
    assert_eq!(
        query(&client, "COPY t FROM STDIN").await.unwrap_err(),
        "42601"
    );
    let replica = connect(&group.targets[1]).await;
    assert_eq!(query(&replica, insert).await.unwrap_err(), "25006");
}

#[tokio::test]
async fn filler_streams_all_rows() {
    let group = start_group().await;
    let client = connect(group.first()).await;
    let rows = query(&client, "SELECT filler(20000, 100)").await.unwrap();
    assert_eq!(rows.len(), 20_000);
    assert!(rows.iter().all(|row| row[0].len() == 100));
}

#[tokio::test]
async fn every_statement_is_recorded_with_its_outcome() {
    let group = start_group().await;
    let client = connect(group.first()).await;
    for text in [
        "INSERT INTO t (k, v) VALUES ('a', 'b')",
        "INSERT INTO t (k, v) VALUES ('a', 'c')",
        "BEGIN",
        "UPDATE t SET v = 'x' WHERE k = 'a'",
        "ROLLBACK",
    ] {
        // The second insert fails.
        let _ = query(&client, text).await;
    }
    let records = group.first().statements();
    let outcomes: Vec<_> = records.iter().map(|record| &record.outcome).collect();
    assert!(matches!(
        outcomes[0],
        RecordedOutcome::Committed { position: Some(_) }
    ));
    assert_eq!(*outcomes[1], RecordedOutcome::NotRun);
    assert_eq!(*outcomes[3], RecordedOutcome::RolledBack);
}

#[tokio::test]
async fn received_bytes_hold_what_callers_sent() {
    let group = start_group().await;
    let client = connect(group.first()).await;
    query(&client, "SELECT 'needle'").await.unwrap();
    let bytes = group.first().received_bytes();
    assert!(bytes.windows(6).any(|window| window == b"needle"));
}

proptest! {
    #[test]
    fn quoted_texts_come_back_whole(text in "[^\\x00]{0,40}") {
        let quoted = text.replace('\'', "''");
        let statement = format!("SELECT '{quoted}'");
        let parsed = parse_statements(&statement).unwrap();
        let expected = SqlStatement::SelectLiteral(TextOperand::Literal(text));
        prop_assert_eq!(parsed, [expected]);
    }

    #[test]
    fn no_text_breaks_the_parser(text in ".{0,80}") {
        let _ = parse_statements(&text);
    }
}
