use mustardhinge_fleet::SmallFleet;

use super::cluster::{
    caller, connect, detail, first_column, haulage, haulage_fleet, sqlstate, start,
};

const CONFIRM: &str = "/*request_id='r-1'*/ INSERT INTO discharges (k, v) VALUES ('d1', 'done')";

#[tokio::test]
async fn a_repeated_request_id_lands_once() {
    let fleet = haulage_fleet().await;
    let first = connect(&caller(fleet.instances[0].address)).await.unwrap();
    let second = connect(&caller(fleet.instances[1].address)).await.unwrap();
    first.simple_query(CONFIRM).await.unwrap();
    second.simple_query(CONFIRM).await.unwrap();
    first.simple_query(CONFIRM).await.unwrap();
    let seen = first_column(&first, "SELECT v FROM discharges").await;
    assert_eq!(seen, ["done"]);
}

#[tokio::test]
async fn a_request_id_is_not_used_for_another_statement() {
    let fleet = haulage_fleet().await;
    let client = connect(&caller(fleet.instances[0].address)).await.unwrap();
    client.simple_query(CONFIRM).await.unwrap();
    let other = "/*request_id='r-1'*/ INSERT INTO discharges (k, v) VALUES ('d2', 'done')";
    let error = client.simple_query(other).await.unwrap_err();
    assert_eq!(sqlstate(&error), "23505");
    let seen = first_column(&client, "SELECT k FROM discharges").await;
    assert_eq!(seen, ["d1"]);
}

#[tokio::test]
async fn a_lost_commit_answer_is_found_again_by_its_id() {
    let fleet = haulage_fleet().await;
    let client = connect(&caller(fleet.instances[0].address)).await.unwrap();
    fleet
        .group("haulage-1")
        .first()
        .change_faults(|faults| faults.lose_commit_answers = 1);
    client.simple_query(CONFIRM).await.unwrap();
    let seen = first_column(&client, "SELECT k FROM discharges").await;
    assert_eq!(seen, ["d1"]);
}

#[tokio::test]
async fn a_commit_with_a_lost_response_and_no_id_is_unknown() {
    let fleet = haulage_fleet().await;
    let client = connect(&caller(fleet.instances[0].address)).await.unwrap();
    fleet
        .group("haulage-1")
        .first()
        .change_faults(|faults| faults.lose_commit_answers = 1);
    let insert = "INSERT INTO discharges (k, v) VALUES ('d1', 'done')";
    let error = client.simple_query(insert).await.unwrap_err();
    assert_eq!(sqlstate(&error), "08007");
    assert_eq!(detail(&error), "outcome=unknown");
}

#[tokio::test]
async fn no_write_is_acknowledged_without_a_majority() {
    let fleet = haulage_fleet().await;
    let client = connect(&caller(fleet.instances[0].address)).await.unwrap();
    for target in &fleet.group("haulage-1").targets {
        target.change_faults(|faults| faults.replication_cut = true);
    }
    let insert = "INSERT INTO discharges (k, v) VALUES ('d1', 'done')";
    let error = client.simple_query(insert).await.unwrap_err();
    assert_eq!(sqlstate(&error), "08007");
}

#[tokio::test]
async fn a_recorded_write_that_no_majority_holds_is_unknown_not_refused() {
    let mut document = haulage();
    document.limits.statement_deadline_ms = 2_000;
    let fleet = start(SmallFleet::builder().service(document).instances(2)).await;
    for target in &fleet.group("haulage-1").targets {
        target.change_faults(|faults| faults.replication_cut = true);
    }
    for instance in &fleet.instances {
        let client = connect(&caller(instance.address)).await.unwrap();
        let error = client.simple_query(CONFIRM).await.unwrap_err();
        assert_eq!(detail(&error), "outcome=unknown");
    }
}
