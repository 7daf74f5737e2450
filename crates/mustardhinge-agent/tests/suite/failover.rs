use std::time::Duration;

use mustardhinge_core::prelude::*;
use mustardhinge_standins::target::member::MemberRole;
use tokio::time::{Instant, sleep};

use super::scaffold::{Fleet, PATIENCE, wait_for_primary};

/// Cuts the primary off by `fault`, and expects another primary in a greater
/// term.
async fn expect_failover(fleet: &Fleet, fault: impl Fn(&Fleet, &TargetId)) {
    let agent = fleet.start_agent(0, "").await;
    let (term, before) = wait_for_primary(&agent, 0).await;
    fault(fleet, &before);
    let started_at = Instant::now();
    let (_, after) = wait_for_primary(&agent, term.get()).await;
    eprintln!("gap={} ms", started_at.elapsed().as_millis());
    assert_ne!(after, before);
    assert_eq!(fleet.target(&after).report().role, MemberRole::Primary);
    agent.stop().await;
}

async fn wait_for_role(fleet: &Fleet, target: &TargetId, role: MemberRole) {
    let deadline = Instant::now() + PATIENCE;
    while fleet.target(target).report().role != role {
        assert!(Instant::now() < deadline, "{target} is no {role}");
        sleep(Duration::from_millis(5)).await;
    }
}

#[tokio::test]
async fn a_killed_primary_is_replaced() {
    let fleet = Fleet::start().await;
    expect_failover(&fleet, |fleet, primary| {
        fleet.target(primary).set_down(true);
    })
    .await;
}

#[tokio::test]
async fn a_frozen_primary_is_replaced() {
    let fleet = Fleet::start().await;
    expect_failover(&fleet, |fleet, primary| {
        fleet.target(primary).set_frozen(true);
    })
    .await;
}

#[tokio::test]
async fn a_primary_is_replaced_while_the_store_is_down() {
    let fleet = Fleet::start().await;
    expect_failover(&fleet, |fleet, primary| {
        fleet.platform.set_down(true);
        fleet.target(primary).set_down(true);
    })
    .await;
}

#[tokio::test]
async fn a_primary_is_replaced_while_the_store_is_silent() {
    let fleet = Fleet::start().await;
    expect_failover(&fleet, |fleet, primary| {
        fleet.platform.set_frozen(true);
        fleet.target(primary).set_down(true);
    })
    .await;
}

#[tokio::test]
async fn a_primary_is_replaced_while_the_store_is_slow() {
    let fleet = Fleet::start().await;
    expect_failover(&fleet, |fleet, primary| {
        fleet
            .platform
            .change_faults(|faults| faults.slow_ms = 3_000);
        fleet.target(primary).set_down(true);
    })
    .await;
}

#[tokio::test]
async fn an_old_primary_that_comes_back_follows() {
    let fleet = Fleet::start().await;
    let agent = fleet.start_agent(0, "").await;
    let (term, before) = wait_for_primary(&agent, 0).await;
    fleet.target(&before).set_down(true);
    let (term, after) = wait_for_primary(&agent, term.get()).await;
    fleet.target(&before).set_down(false);
    wait_for_role(&fleet, &before, MemberRole::Replica).await;
    let report = fleet.target(&before).report();
    assert_eq!((report.term, report.primary), (term, after.to_string()));
    agent.stop().await;
}

#[tokio::test]
async fn silent_connections_cause_no_failover() {
    let fleet = Fleet::start().await;
    let agent = fleet.start_agent(0, "").await;
    let (term, before) = wait_for_primary(&agent, 0).await;
    for _ in 0..4 {
        fleet.target(&before).silence_connections();
        sleep(Duration::from_millis(450)).await;
    }
    assert_eq!(wait_for_primary(&agent, 0).await, (term, before));
    agent.stop().await;
}

#[tokio::test]
async fn agents_in_all_zones_agree_on_one_primary() {
    let fleet = Fleet::start().await;
    let mut agents = Vec::new();
    for zone in 0..3 {
        agents.push(fleet.start_agent(zone, "").await);
    }
    let (term, before) = wait_for_primary(&agents[0], 0).await;
    fleet.target(&before).set_down(true);
    let (term, after) = wait_for_primary(&agents[0], term.get()).await;
    sleep(Duration::from_millis(500)).await;
    for agent in &agents {
        assert_eq!(wait_for_primary(agent, 1).await, (term, after.clone()));
    }
    for agent in agents {
        agent.stop().await;
    }
}
