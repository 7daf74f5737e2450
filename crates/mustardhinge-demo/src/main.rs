//! The whole system in one process: a driver confirms a discharge through one
//! instance, reads it through another, and goes on when the primary is lost.

mod demo_caller;
mod demo_count;

use std::process::ExitCode;
use std::time::{Duration, Instant};

use anyhow::{Context, ensure};
use mustardhinge_config::document::ServiceDocument;
use mustardhinge_core::prelude::*;
use mustardhinge_fleet::SmallFleet;

use demo_caller::DemoCaller;
use demo_count::DemoCount;

/// The service of the demo, as the sample configuration has it.
const DOCUMENT: &str = include_str!("../../../examples/muscat/haulage-1.toml");

/// The customer's sample key; its digest stands in the document.
const SAMPLE_KEY: &str = "seeb-sample-key";

/// How long the fleet may take to be ready, and to get over the lost primary.
const STEP_BOUND: Duration = Duration::from_secs(10);

#[tokio::main]
async fn main() -> ExitCode {
    let mut count = DemoCount::default();
    let outcome = run(&mut count).await;
    if let Err(error) = &outcome {
        println!("demo failed: {error:#}");
    }
    println!("{count}");
    if outcome.is_ok() && count.is_whole() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

async fn run(count: &mut DemoCount) -> anyhow::Result<()> {
    let document = ServiceDocument::parse(DOCUMENT).map_err(|found| anyhow::anyhow!("{found}"))?;
    let service = document.service.clone();
    println!("starting: a platform, three targets in three zones, two instances in two zones");
    let fleet = SmallFleet::builder()
        .service(document)
        .instances(2)
        .start()
        .await?;
    fleet.wait_until_ready(STEP_BOUND).await?;
    let outcome = drive(&fleet, &service, count).await;
    fleet.shutdown().await;
    outcome
}

async fn drive(
    fleet: &SmallFleet,
    service: &ServiceId,
    count: &mut DemoCount,
) -> anyhow::Result<()> {
    let first = DemoCaller::connect(fleet.instances[0].address, service, None).await?;
    let token = confirm_and_read(fleet, service, &first, count).await?;
    lose_primary(fleet, &first, count).await?;
    read_after(fleet, service, &token, count).await
}

async fn confirm_and_read(
    fleet: &SmallFleet,
    service: &ServiceId,
    first: &DemoCaller,
    count: &mut DemoCount,
) -> anyhow::Result<String> {
    count.add(first.confirm("pickup-1", "r-1").await)?;
    let token = first.token().context("a confirmed write reports a token")?;
    println!("instance 1 confirmed pickup-1, read token {token}");
    let address = fleet.instances[1].address;
    let second = DemoCaller::connect(address, service, Some(&token)).await?;
    let seen = count.add(second.read("pickup-1").await)?;
    ensure!(seen.as_deref() == Some("done"), "pickup-1 was not seen");
    println!("instance 2, in another zone, reads pickup-1: done");
    Ok(token)
}

async fn lose_primary(
    fleet: &SmallFleet,
    first: &DemoCaller,
    count: &mut DemoCount,
) -> anyhow::Result<()> {
    let group = fleet.groups.values().next().context("a group")?;
    group.first().set_down(true);
    let cut_at = Instant::now();
    println!("the primary {} is cut", group.first().name());
    while cut_at.elapsed() < STEP_BOUND {
        if count.add(first.confirm("discharge-1", "r-2").await).is_ok() {
            let gap = cut_at.elapsed().as_millis();
            println!("the next confirmation succeeded {gap} ms after the cut");
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    anyhow::bail!("no confirmation within {STEP_BOUND:?}")
}

async fn read_after(
    fleet: &SmallFleet,
    service: &ServiceId,
    token: &str,
    count: &mut DemoCount,
) -> anyhow::Result<()> {
    let address = fleet.instances[1].address;
    let second = DemoCaller::connect(address, service, Some(token)).await?;
    for key in ["pickup-1", "discharge-1"] {
        let seen = count.add(second.read(key).await)?;
        if seen.as_deref() != Some("done") {
            count.add_lost();
        }
        println!(
            "instance 2 reads {key}: {}",
            seen.as_deref().unwrap_or("nothing")
        );
    }
    Ok(())
}
