use std::time::Duration;

use mustardhinge_config::document::edit::set_leaving;
use mustardhinge_core::prelude::*;
use mustardhinge_standins::target::member::MemberRole;
use tokio::time::{Instant, sleep};

use super::scaffold::{Fleet, PATIENCE, wait_for_primary};

/// Cuts the primary off by `fault`, and expects another primary in a greater
/// term.
async fn expect_failover(name: &str, fleet: &Fleet, fault: impl Fn(&Fleet, &TargetId)) {
    let agent = fleet.start_agent(0, "").await;
    let (term, before) = wait_for_primary(&agent, 0).await;
    fault(fleet, &before);
    let started_at = Instant::now();
    let (_, after) = wait_for_primary(&agent, term.get()).await;
    eprintln!("{name}: gap {} ms", started_at.elapsed().as_millis());
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
    expect_failover("killed", &fleet, |fleet, primary| {
        fleet.target(primary).set_down(true);
    })
    .await;
}

#[tokio::test]
async fn a_frozen_primary_is_replaced() {
    let fleet = Fleet::start().await;
    expect_failover("frozen", &fleet, |fleet, primary| {
        fleet.target(primary).set_frozen(true);
    })
    .await;
}

#[tokio::test]
async fn a_primary_is_replaced_while_the_store_is_down() {
    let fleet = Fleet::start().await;
    expect_failover("store down", &fleet, |fleet, primary| {
        fleet.platform.set_down(true);
        fleet.target(primary).set_down(true);
    })
    .await;
}

#[tokio::test]
async fn a_primary_is_replaced_while_the_store_is_silent() {
    let fleet = Fleet::start().await;
    expect_failover("store silent", &fleet, |fleet, primary| {
        fleet.platform.set_frozen(true);
        fleet.target(primary).set_down(true);
    })
    .await;
}

#[tokio::test]
async fn a_primary_is_replaced_while_the_store_is_slow() {
    let fleet = Fleet::start().await;
    expect_failover("store slow", &fleet, |fleet, primary| {
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

#[tokio::test]
async fn a_second_failure_right_after_the_first_is_survived() {
    let fleet = Fleet::start().await;
    let agent = fleet.start_agent(0, "").await;
    let (term, first) = wait_for_primary(&agent, 0).await;
    fleet.target(&first).set_down(true);
    let (term, second) = wait_for_primary(&agent, term.get()).await;
    fleet.target(&first).set_down(false);
    fleet.target(&second).set_down(true);
    let (_, third) = wait_for_primary(&agent, term.get()).await;
    assert_ne!(third, second);
    agent.stop().await;
}

#[tokio::test]
async fn lost_answers_of_the_store_do_not_hinder_a_failover() {
    let fleet = Fleet::start().await;
    expect_failover("store loses answers", &fleet, |fleet, primary| {
        fleet
            .platform
            .change_faults(|faults| faults.lose_answers = 3);
        fleet.target(primary).set_down(true);
    })
    .await;
}

#[tokio::test]
async fn lag_and_a_slow_store_cause_no_failover() {
    let fleet = Fleet::start().await;
    let agent = fleet.start_agent(0, "").await;
    let (term, primary) = wait_for_primary(&agent, 0).await;
    fleet
        .platform
        .change_faults(|faults| faults.slow_ms = 2_000);
    for target in &fleet.targets.targets {
        target.change_faults(|faults| faults.replication_lag_ms = 3_000);
    }
    sleep(Duration::from_secs(2)).await;
    assert_eq!(wait_for_primary(&agent, 0).await, (term, primary));
    agent.stop().await;
}

#[tokio::test]
async fn another_agent_goes_on_when_one_dies_during_a_failover() {
    let fleet = Fleet::start().await;
    let mut agents = Vec::new();
    for zone in 0..3 {
        agents.push(fleet.start_agent(zone, "").await);
    }
    let (term, primary) = wait_for_primary(&agents[2], 0).await;
    fleet.target(&primary).set_down(true);
    sleep(Duration::from_millis(300)).await;
    drop(agents.remove(0));
    drop(agents.remove(0));
    let (_, after) = wait_for_primary(&agents[0], term.get()).await;
    assert_ne!(after, primary);
}

#[tokio::test]
async fn lost_answers_of_the_targets_do_not_hinder_a_failover() {
    let fleet = Fleet::start().await;
    expect_failover("targets lose answers", &fleet, |fleet, primary| {
        for target in &fleet.targets.targets {
            target.change_faults(|faults| faults.lose_group_answers = 1);
        }
        fleet.target(primary).set_down(true);
    })
    .await;
}

#[tokio::test]
async fn a_slow_primary_that_is_probed_rarely_is_not_replaced() {
    let fleet = Fleet::start().await;
    let more = "probe_interval_ms = 700\nprobe_timeout_ms = 650";
    let agent = fleet.start_agent(0, more).await;
    let (term, primary) = wait_for_primary(&agent, 0).await;
    let slow = fleet.target(&primary);
    slow.change_faults(|faults| faults.late_ms = 450);
    sleep(Duration::from_secs(4)).await;
    assert_eq!(wait_for_primary(&agent, 0).await, (term, primary.clone()));
    slow.set_down(true);
    wait_for_primary(&agent, term.get()).await;
    agent.stop().await;
}

#[tokio::test]
async fn a_primary_without_a_free_connection_is_not_replaced_by_a_new_agent() {
    let fleet = Fleet::start().await;
    let primary = fleet.targets.first();
    let mut clients = Vec::new();
    for _ in 0..30 {
        let mut config = tokio_postgres::Config::new();
        config.host("127.0.0.1").port(primary.address().port());
        config.user("mustardhinge").dbname("mustardhinge");
        let (client, connection) = config.connect(tokio_postgres::NoTls).await.unwrap();
        clients.push((client, tokio::spawn(connection)));
    }
    let agent = fleet.start_agent(0, "").await;
    sleep(Duration::from_secs(2)).await;
    let terms = fleet
        .targets
        .targets
        .iter()
        .map(|target| target.report().term);
    let terms: Vec<_> = terms.collect();
    assert_eq!(terms, vec![LeaderTerm::new(1); 3]);
    drop(clients);
    wait_for_primary(&agent, 0).await;
    agent.stop().await;
}

#[tokio::test]
async fn a_primary_that_the_document_calls_leaving_hands_over() {
    let fleet = Fleet::start().await;
    let agent = fleet.start_agent(0, "").await;
    let (term, before) = wait_for_primary(&agent, 0).await;
    let document = fleet.document("40/s");
    let document = set_leaving(&document, &before, true).unwrap();
    fleet.put_document(1, "second", &document);
    let (_, after) = wait_for_primary(&agent, term.get()).await;
    assert_ne!(after, before);
    wait_for_role(&fleet, &after, MemberRole::Primary).await;
    agent.stop().await;
}
