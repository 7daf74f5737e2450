use std::net::SocketAddr;
use std::time::{Duration, Instant};

use mustardhinge_fleet::SmallFleet;
use mustardhinge_standins::target::TargetHandle;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio_postgres::Client;

use super::cluster::{
    TEST_BOUND, caller, connect, detail, first_column, haulage, haulage_fleet, start,
};

async fn confirm(client: &Client, key: &str) -> Result<(), tokio_postgres::Error> {
    let text =
        format!("/*request_id='r-{key}'*/ INSERT INTO discharges (k, v) VALUES ('{key}', 'done')");
    client.simple_query(&text).await.map(drop)
}

/// Retries the write until it succeeds.
async fn confirm_until_done(client: &Client, key: &str) {
    let started_at = Instant::now();
    while let Err(error) = confirm(client, key).await {
        assert!(started_at.elapsed() < TEST_BOUND, "{error:?}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

async fn all_keys(client: &Client) -> Vec<String> {
    let mut keys = first_column(client, "SELECT k FROM discharges").await;
    keys.sort();
    keys
}

#[tokio::test]
async fn a_frozen_primary_is_replaced_and_nothing_confirmed_is_lost() {
    let fleet = haulage_fleet().await;
    let client = connect(&caller(fleet.instances[0].address)).await.unwrap();
    confirm(&client, "d1").await.unwrap();
    let old = fleet.group("haulage-1").first();
    old.set_frozen(true);
    confirm_until_done(&client, "d2").await;
    let other = connect(&caller(fleet.instances[1].address)).await.unwrap();
    assert_eq!(all_keys(&other).await, ["d1", "d2"]);
}

#[tokio::test]
async fn a_recovered_primary_becomes_a_replica() {
    let fleet = haulage_fleet().await;
    let client = connect(&caller(fleet.instances[0].address)).await.unwrap();
    confirm(&client, "d1").await.unwrap();
    let old = fleet.group("haulage-1").first();
    old.set_down(true);
    confirm_until_done(&client, "d2").await;
    old.set_down(false);
    let started_at = Instant::now();
    while old.value_of("discharges", "d2").is_none() {
        assert!(started_at.elapsed() < TEST_BOUND, "{:?}", old.report());
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(all_keys(&client).await, ["d1", "d2"]);
}

#[tokio::test]
async fn connections_that_fall_silent_cost_one_bounded_wait() {
    let fleet = haulage_fleet().await;
    let client = connect(&caller(fleet.instances[0].address)).await.unwrap();
    confirm(&client, "d1").await.unwrap();
    first_column(&client, "SELECT 1").await;
    for target in &fleet.group("haulage-1").targets {
        target.silence_connections();
    }
    assert_eq!(all_keys(&client).await, ["d1"]);
    confirm_until_done(&client, "d2").await;
    assert_eq!(all_keys(&client).await, ["d1", "d2"]);
}

/// Sends a request without fields to an agent's operator API.
async fn post(address: SocketAddr, path: &str) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let request = format!(
        "POST {path} HTTP/1.1\r\nhost: agent\r\ncontent-type: application/json\r\n\
         content-length: 2\r\nconnection: close\r\n\r\n{{}}"
    );
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    answer
}

#[tokio::test]
async fn a_planned_switchover_fails_no_write() {
    let fleet = haulage_fleet().await;
    let writers = [0, 1, 0, 1].map(|number| fleet.instances[number].address);
    let mut tasks = Vec::new();
    for (writer, address) in writers.into_iter().enumerate() {
        tasks.push(tokio::spawn(async move {
            let client = connect(&caller(address)).await.unwrap();
            let started_at = Instant::now();
            let mut written = 0;
            while started_at.elapsed() < Duration::from_secs(2) {
                let insert =
                    format!("INSERT INTO moves (k, v) VALUES ('w{writer}-{written}', 'x')");
                client.simple_query(&insert).await.unwrap();
                written += 1;
            }
            written
        }));
    }
    tokio::time::sleep(Duration::from_millis(700)).await;
    let answer = post(
        fleet.instances[0].operator_address,
        "/groups/haulage-1/switchover",
    );
    let answer = answer.await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    let mut written = 0;
    for task in tasks {
        written += task.await.expect("every write is confirmed");
    }
    let client = connect(&caller(fleet.instances[1].address)).await.unwrap();
    let rows = first_column(&client, "SELECT k FROM moves").await;
    assert_eq!(rows.len(), written);
}

#[tokio::test]
async fn reads_succeed_while_a_replica_is_frozen() {
    let fleet = haulage_fleet().await;
    let client = connect(&caller(fleet.instances[0].address)).await.unwrap();
    confirm(&client, "d1").await.unwrap();
    for number in 1..3 {
        let replica = &fleet.group("haulage-1").targets[number];
        replica.set_frozen(true);
        assert_eq!(all_keys(&client).await, ["d1"]);
        replica.set_frozen(false);
        let started_at = Instant::now();
        while all_keys(&client).await != ["d1"] {
            assert!(started_at.elapsed() < TEST_BOUND);
        }
    }
}

#[tokio::test]
async fn killing_an_entry_rolls_back_its_transactions() {
    let mut fleet = haulage_fleet().await;
    let client = connect(&caller(fleet.instances[0].address)).await.unwrap();
    client.simple_query("BEGIN").await.unwrap();
    let insert = "INSERT INTO moves (k, v) VALUES ('m1', 'a')";
    client.simple_query(insert).await.unwrap();
    fleet.instances[0].kill();
    let other = connect(&caller(fleet.instances[1].address)).await.unwrap();
    let insert = "INSERT INTO moves (k, v) VALUES ('m1', 'b')";
    other.simple_query(insert).await.unwrap();
    assert_eq!(first_column(&other, "SELECT v FROM moves").await, ["b"]);
}

#[tokio::test]
async fn without_its_agent_an_entry_serves_open_routes_only() {
    let mut fleet = haulage_fleet().await;
    let client = connect(&caller(fleet.instances[0].address)).await.unwrap();
    client.simple_query("SELECT 1").await.unwrap();
    fleet.instances[0].agent = None;
    let started_at = Instant::now();
    let refused = loop {
        match client.simple_query("SELECT 1").await {
            Err(error) if detail(&error).contains("reason=key_unproven") => break error,
            _ => assert!(started_at.elapsed() < TEST_BOUND),
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    };
    assert!(detail(&refused).contains("outcome=not_run"));
    let open = "/*route='site-status'*/ SELECT v FROM sites WHERE k = 's1'";
    client.simple_query(open).await.unwrap();
}

#[tokio::test]
async fn writes_with_a_key_succeed_while_the_platform_is_down() {
    let fleet = start(SmallFleet::builder().service(haulage()).instances(3)).await;
    fleet.platform.set_down(true);
    let bound = Duration::from_millis(haulage().limits.key_proof_ms.into());
    tokio::time::sleep(bound + Duration::from_secs(1)).await;
    for (number, instance) in fleet.instances.iter().enumerate() {
        let client = connect(&caller(instance.address)).await.unwrap();
        confirm(&client, &format!("d{number}")).await.unwrap();
    }
}

#[tokio::test]
async fn a_call_of_a_function_is_not_sent_twice_nor_said_not_to_have_run() {
    let mut document = haulage();
    document.limits.statement_deadline_ms = 2_000;
    let fleet = start(SmallFleet::builder().service(document)).await;
    let mut config = caller(fleet.instances[0].address);
    config.options("-c mustardhinge.session=s1 -c mustardhinge.token=0/0");
    let client = connect(&config).await.unwrap();
    let call = "SELECT filler(1, 8)";
    for _ in 0..4 {
        client.simple_query(call).await.unwrap();
    }
    let ran = |fleet: &SmallFleet| -> usize {
        let targets = fleet.group("haulage-1").targets.iter();
        let statements = targets.flat_map(TargetHandle::statements);
        statements
            .filter(|record| record.text.contains("filler"))
            .count()
    };
    let before = ran(&fleet);
    for target in &fleet.group("haulage-1").targets {
        target.change_faults(|faults| faults.late_ms = 4_000);
    }
    let error = client.simple_query(call).await.unwrap_err();
    assert_eq!(detail(&error), "outcome=unknown");
    assert!(ran(&fleet) <= before + 1, "sent to more than one target");
}
