use std::time::Duration;

use mustardhinge_fleet::SmallFleet;

use super::cluster::{caller, connect, first_column, haulage, haulage_fleet, start};

#[tokio::test]
async fn a_confirmed_write_is_read_through_another_instance() {
    let fleet = haulage_fleet().await;
    let writer = connect(&caller(fleet.instances[0].address)).await.unwrap();
    writer
        .simple_query("INSERT INTO pickups (k, v) VALUES ('p1', 'done')")
        .await
        .unwrap();
    let reader = connect(&caller(fleet.instances[1].address)).await.unwrap();
    let seen = first_column(&reader, "SELECT v FROM pickups WHERE k = 'p1'").await;
    assert_eq!(seen, ["done"]);
}

#[tokio::test]
async fn a_lagging_replica_is_not_read_by_the_writer() {
    let fleet = haulage_fleet().await;
    for target in &fleet.group("haulage-1").targets[1..] {
        target.change_faults(|faults| faults.apply_lag_ms = 2_000);
    }
    let writer = connect(&caller(fleet.instances[0].address)).await.unwrap();
    for number in 0..3 {
        let insert = format!("INSERT INTO pickups (k, v) VALUES ('p{number}', 'done')");
        writer.simple_query(&insert).await.unwrap();
        let reader = connect(&caller(fleet.instances[1].address)).await.unwrap();
        let select = format!("SELECT v FROM pickups WHERE k = 'p{number}'");
        assert_eq!(first_column(&reader, &select).await, ["done"]);
    }
}

#[tokio::test]
async fn a_write_without_a_majority_is_not_visible_to_reads() {
    let mut document = haulage();
    for replica in &mut document.group.targets[1..] {
        replica.leaving = true;
    }
    let fleet = start(SmallFleet::builder().service(document).instances(2)).await;
    let writer = connect(&caller(fleet.instances[0].address)).await.unwrap();
    for target in &fleet.group("haulage-1").targets {
        target.change_faults(|faults| faults.replication_cut = true);
    }
    let write = async move {
        let insert = "INSERT INTO pickups (k, v) VALUES ('p1', 'done')";
        writer.simple_query(insert).await.unwrap_err();
    };
    let read = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        assert!(
            fleet
                .group("haulage-1")
                .first()
                .value_of("pickups", "p1")
                .is_some()
        );
        let reader = connect(&caller(fleet.instances[1].address)).await.unwrap();
        reader
            .simple_query("SELECT v FROM pickups WHERE k = 'p1'")
            .await
    };
    let ((), seen) = tokio::join!(write, read);
    let rows = seen.map(|messages| {
        let mut messages = messages.into_iter();
        messages.any(|message| matches!(message, tokio_postgres::SimpleQueryMessage::Row(_)))
    });
    assert!(
        !matches!(rows, Ok(true)),
        "a row was read that may be undone"
    );
}

#[tokio::test]
async fn a_service_without_callers_costs_no_connections() {
    let builder = SmallFleet::builder().service(haulage());
    let fleet = builder.start().await.unwrap();
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let target = fleet.group("haulage-1").first();
    let before = target.open_connections();
    let client = connect(&caller(fleet.instances[0].address)).await.unwrap();
    first_column(&client, "SELECT 1").await;
    assert!(target.open_connections() > before);
}
