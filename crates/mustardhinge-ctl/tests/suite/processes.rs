use crate::process_fleet::ProcessFleet;

/// A confirmation that may be repeated.
fn confirm(key: &str) -> String {
    format!("INSERT INTO discharges (k, v) VALUES ('{key}', 'confirmed') ON CONFLICT DO NOTHING")
}

#[tokio::test]
async fn separate_processes_serve_a_request_end_to_end() {
    let mut fleet = ProcessFleet::start(2).await;
    fleet.query(0, &confirm("d-1")).await;
    let read = "SELECT v FROM discharges WHERE k = 'd-1'";
    assert_eq!(fleet.query(1, read).await, ["confirmed"]);
    fleet.targets[0].kill();
    fleet.query(1, &confirm("d-2")).await;
    let read = "SELECT v FROM discharges WHERE k = 'd-2'";
    assert_eq!(fleet.query(0, read).await, ["confirmed"]);
    let first = "SELECT v FROM discharges WHERE k = 'd-1'";
    assert_eq!(
        fleet.query(0, first).await,
        ["confirmed"],
        "nothing is lost"
    );
    for instance in &mut fleet.instances {
        assert_eq!(instance.entry.stop().await.code(), Some(0));
        assert_eq!(instance.agent.stop().await.code(), Some(0));
    }
}
