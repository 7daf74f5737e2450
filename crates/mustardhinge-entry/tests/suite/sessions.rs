use super::cluster::{caller, connect, first_column, haulage_fleet};

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
