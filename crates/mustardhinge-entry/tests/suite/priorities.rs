//! Priorities of routes, from the document to the order at a target.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use mustardhinge_config::document::ServiceDocument;
use mustardhinge_core::prelude::*;
use mustardhinge_core::queue::{CustomerWeight, WorkKind};
use mustardhinge_entry::target::{PoolRefusal, PoolSettings, SlotRequest, TargetPool};
use mustardhinge_fleet::SmallFleet;
use mustardhinge_process::ProcessClock;
use mustardhinge_standins::target::TargetServer;
use tokio::task::JoinSet;
use tokio_postgres::Client;

use super::cluster::{caller, connect, haulage, start};

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

/// Guards against an opening time or a slot time that isn't measured: a second request of the lower
/// priority is not expected to be sent in time while the higher one opens a slow connection.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_pool_measures_how_long_opening_a_connection_takes() {
    let delay = Duration::from_millis(1_500);
    let server = TargetServer::builder("t1")
        .connection_delay(delay)
        .start()
        .await
        .unwrap();
    let clock = ProcessClock::start();
    let settings = PoolSettings::new("haulage").connect_timeout(delay * 4);
    let pool = TargetPool::new("t1".parse().unwrap(), server.address(), settings, clock);
    drop(
        pool.acquire(&request(("seeb", 0), 20_000, clock))
            .await
            .unwrap(),
    );
    let mut opening = JoinSet::new();
    for priority in [0, 1] {
        let pool = Arc::clone(&pool);
        let request = request(("seeb", priority), 20_000, clock);
        opening.spawn(async move { pool.acquire(&request).await.map(drop) });
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let refusal = pool
        .acquire(&request(("nizwa", 1), 400, clock))
        .await
        .unwrap_err();
    let PoolRefusal::Queue { reason, .. } = refusal else {
        panic!("{refusal}");
    };
    assert_eq!(reason, RefusalReason::QueueFull);
}
