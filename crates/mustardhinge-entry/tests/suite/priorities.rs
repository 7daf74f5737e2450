//! Priorities of routes, from the document to the order at a target.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use metrics_exporter_prometheus::PrometheusBuilder;
use mustardhinge_config::document::ServiceDocument;
use mustardhinge_core::prelude::*;
use mustardhinge_core::queue::{CustomerWeight, WorkKind};
use mustardhinge_entry::target::{PoolRefusal, PoolSettings, SlotRequest, TargetPool};
use mustardhinge_fleet::SmallFleet;
use mustardhinge_process::ProcessClock;
use mustardhinge_standins::target::{TargetHandle, TargetServer};
use tokio::task::JoinSet;
use tokio_postgres::Client;

use super::cluster::{TEST_BOUND, caller, connect, haulage, start};

/// Time of a statement at a target.
const STATEMENT_TIME: Duration = Duration::from_millis(20);

/// Returns a document whose service runs one statement at a time on each target, with `confirm`
/// before `reassign`.
fn document(confirm: u8, reassign: u8) -> ServiceDocument {
    let mut document = haulage();
    document.limits.connections_per_target = 6;
    document.limits.slots_per_target = 1;
    document.limits.max_instances = 1;
    for route in &mut document.routes {
        let rank = if route.name.as_str() == "confirm" {
            confirm
        } else {
            reassign
        };
        route.priority = RoutePriority::new(rank);
    }
    document
}

async fn start_one(document: ServiceDocument) -> SmallFleet {
    let builder = SmallFleet::builder()
        .service(document)
        .statement_time(STATEMENT_TIME);
    start(builder).await
}

async fn insert(client: Client, route: &str, key: usize) -> Result<(), tokio_postgres::Error> {
    let text =
        format!("/*route='{route}'*/ INSERT INTO discharges (k, v) VALUES ('{route}-{key}', 'x')");
    client.simple_query(&text).await.map(drop)
}

/// Sends `count` writes on the route `reassign` at once, each on its own connection.
async fn flood(fleet: &SmallFleet, count: usize) -> JoinSet<Result<(), tokio_postgres::Error>> {
    let mut clients = Vec::new();
    for _ in 0..count {
        clients.push(connect(&caller(fleet.instances[0].address)).await.unwrap());
    }
    let mut running = JoinSet::new();
    for (key, client) in clients.into_iter().enumerate() {
        running.spawn(insert(client, "reassign", key));
    }
    running
}

/// Returns how many of 40 writes on `reassign` ended before one on `confirm` that came after them.
async fn ended_before_confirm(document: ServiceDocument) -> usize {
    let fleet = start_one(document).await;
    let client = connect(&caller(fleet.instances[0].address)).await.unwrap();
    let mut running = flood(&fleet, 40).await;
    tokio::time::sleep(STATEMENT_TIME * 3).await;
    insert(client, "confirm", 0).await.unwrap();
    std::iter::from_fn(|| running.try_join_next()).count()
}

/// Guards against a priority that is lost on the way from the document to the queue.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_higher_priority_goes_before_what_waits() {
    let ended = ended_before_confirm(document(0, 1)).await;
    assert!(ended < 25, "{ended} of 40 writes ended first");
}

/// Guards against an effect of priorities that are all the same.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_same_priority_leaves_the_order_of_arrival() {
    let ended = ended_before_confirm(document(3, 3)).await;
    assert!(ended > 30, "{ended} of 40 writes ended first");
}

/// Guards against callers that are all told to return at the same moment.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refused_callers_get_delays_that_differ() {
    let mut document = document(0, 2);
    document.limits.statement_deadline_ms = 600;
    let fleet = start_one(document).await;
    let mut running = flood(&fleet, 200).await;
    let mut delays = Vec::new();
    while let Some(ended) = running.join_next().await {
        let Err(error) = ended.unwrap() else {
            continue;
        };
        let error = error.as_db_error().unwrap();
        if error.detail() == Some("outcome=not_run reason=queue_full") {
            delays.push(error.hint().unwrap().to_owned());
        }
    }
    let different: BTreeSet<_> = delays.iter().collect();
    assert!(delays.len() > 60, "{} refusals", delays.len());
    assert!(different.len() * 4 > delays.len(), "{delays:?}");
}

fn request((customer, priority): (&str, u8), wait_ms: u64, clock: ProcessClock) -> SlotRequest {
    SlotRequest {
        customer: customer.parse().unwrap(),
        deadline: clock.now() + Duration::from_millis(wait_ms),
        priority: RoutePriority::new(priority),
        kind: WorkKind::Read,
        weight: Some(CustomerWeight::LOWEST),
    }
}

/// Starts a target, and a pool of one connection to it.
async fn pool_of_one(opening: Duration, clock: ProcessClock) -> (TargetHandle, Arc<TargetPool>) {
    let server = TargetServer::builder("t1").connection_delay(opening);
    let server = server.start().await.unwrap();
    let settings = PoolSettings::new("haulage").connect_timeout(TEST_BOUND);
    let pool = TargetPool::new("t1".parse().unwrap(), server.address(), settings, clock);
    (server, pool)
}

fn reason_of(refusal: PoolRefusal) -> (RefusalReason, Duration) {
    match refusal {
        PoolRefusal::Queue {
            reason,
            retry_after,
        } => (reason, retry_after.get()),
        other => panic!("{other}"),
    }
}

/// Waits in the queue of a pool whose connection is in use, and returns what a second request comes
/// to whose objective allows an expected wait of 300 ms.
async fn second_in_queue(pool: &Arc<TargetPool>, clock: ProcessClock) -> RefusalReason {
    let waiting = {
        let pool = Arc::clone(pool);
        let request = request(("seeb", 1), 20_000, clock);
        tokio::spawn(async move { pool.acquire(&request).await.map(drop) })
    };
    tokio::time::sleep(Duration::from_millis(20)).await;
    let refusal = pool.acquire(&request(("nizwa", 1), 400, clock)).await;
    waiting.abort();
    reason_of(refusal.unwrap_err()).0
}

/// Guards against an opening time that isn't measured or not counted as demand: little is left for
/// lower priorities while a higher one opens slow connections.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_pool_measures_how_long_opening_a_connection_takes() {
    let clock = ProcessClock::start();
    let (_server, pool) = pool_of_one(Duration::from_millis(1_500), clock).await;
    drop(pool.acquire(&request(("seeb", 0), 20_000, clock)).await);
    let opening = {
        let pool = Arc::clone(&pool);
        let request = request(("seeb", 0), 20_000, clock);
        tokio::spawn(async move { pool.acquire(&request).await.map(drop) })
    };
    tokio::time::sleep(Duration::from_millis(20)).await;
    assert_eq!(
        second_in_queue(&pool, clock).await,
        RefusalReason::QueueFull
    );
    opening.abort();
}

/// Guards against costs that are not learned from the leases of a pool, and against requests that
/// wait until nothing of their deadline is left for their work.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_pool_measures_how_long_work_takes() {
    let clock = ProcessClock::start();
    let (_server, pool) = pool_of_one(Duration::ZERO, clock).await;
    for _ in 0..2 {
        let lease = pool.acquire(&request(("seeb", 1), 20_000, clock)).await;
        tokio::time::sleep(Duration::from_millis(700)).await;
        lease.unwrap().release(clock.now());
    }
    let _lease = pool.acquire(&request(("seeb", 1), 20_000, clock)).await;
    let single = request(("seeb", 1), 2_000, clock);
    let refusal = pool.acquire(&single).await.unwrap_err();
    assert_eq!(reason_of(refusal).0, RefusalReason::DeadlinePassed);
    assert!(clock.now() < single.deadline);
    assert_eq!(
        second_in_queue(&pool, clock).await,
        RefusalReason::QueueFull
    );
}

/// Guards against refusals and waits that operators can't see, also where priorities are the same,
/// and against a retry delay that has nothing to do with the queue.
#[tokio::test]
async fn refusals_and_waits_are_counted_by_priority() {
    let recorder = PrometheusBuilder::new().build_recorder();
    let _guard = metrics::set_default_local_recorder(&recorder);
    let clock = ProcessClock::start();
    let (_server, pool) = pool_of_one(Duration::ZERO, clock).await;
    let _lease = pool.acquire(&request(("seeb", 0), 20_000, clock)).await;
    let (reason, retry_after) = {
        let refused = pool.acquire(&request(("seeb", 1), 100, clock)).await;
        reason_of(refused.unwrap_err())
    };
    assert_eq!(reason, RefusalReason::DeadlinePassed);
    assert!(retry_after < TEST_BOUND / 2, "{retry_after:?}");
    let same = SlotRequest {
        weight: None,
        ..request(("seeb", 2), 100, clock)
    };
    reason_of(pool.acquire(&same).await.unwrap_err());
    let text = recorder.handle().render();
    let refusal = r#"mustardhinge_queue_refusals_total{priority="1",reason="deadline_passed"} 1"#;
    assert!(text.contains(refusal), "{text}");
    let wait = r#"mustardhinge_queue_wait_seconds_count{priority="0"} 1"#;
    assert!(text.contains(wait), "{text}");
    assert!(!text.contains(r#"priority="2""#), "{text}");
}

/// Guards against transactions whose length counts as the slot time of single writes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn long_transactions_leave_the_cost_of_writes_alone() {
    let mut document = document(0, 1);
    document.limits.statement_deadline_ms = 2_000;
    let fleet = start_one(document).await;
    let holder = connect(&caller(fleet.instances[0].address)).await.unwrap();
    let begin = "/*route='reassign'*/ BEGIN";
    holder.simple_query(begin).await.unwrap();
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    holder.simple_query("COMMIT").await.unwrap();
    holder.simple_query(begin).await.unwrap();
    let mut running = flood(&fleet, 3).await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    holder.simple_query("COMMIT").await.unwrap();
    while let Some(ended) = running.join_next().await {
        ended.unwrap().unwrap();
    }
}
