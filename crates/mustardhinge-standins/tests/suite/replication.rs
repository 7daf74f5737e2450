use std::time::Duration;

use mustardhinge_core::prelude::LeaderTerm;
use mustardhinge_standins::target::TargetGroup;
use mustardhinge_standins::target::member::MemberRole;
use tokio_postgres::Client;

use crate::scaffold::{connect, is_stuck, query, start_group, wait_until};

async fn insert(client: &Client, key: &str) -> Result<Vec<Vec<String>>, String> {
    let text = format!("INSERT INTO t (k, v) VALUES ('{key}', 'v')");
    query(client, &text).await
}

async fn wait_for_row(group: &TargetGroup, target: usize, key: &str) {
    let target = &group.targets[target];
    let what = format!("{} has {key}", target.name());
    wait_until(&what, || target.value_of("t", key).is_some()).await;
}

/// Fences `target` and makes it the primary of `term` by the group calls.
async fn promote(client: &Client, term: u64) -> (Vec<String>, Vec<String>) {
    let fence = format!("SELECT group_fence({term}, 'agent-1')");
    let promote = format!("SELECT group_promote({term}, 'agent-1')");
    let fenced = query(client, &fence).await.unwrap().remove(0);
    let promoted = query(client, &promote).await.unwrap().remove(0);
    (fenced, promoted)
}

#[tokio::test]
async fn replicas_get_what_the_primary_commits() {
    let group = start_group().await;
    let client = connect(group.first()).await;
    insert(&client, "a").await.unwrap();
    wait_for_row(&group, 1, "a").await;
    wait_for_row(&group, 2, "a").await;
    let replica = connect(&group.targets[1]).await;
    let report = query(&replica, "SELECT group_report()").await.unwrap();
    assert_eq!(report, [["t-2", "replica", "1", "1/2", "1/2", "t-1"]]);
}

#[tokio::test]
async fn the_replication_lag_keeps_entries_away() {
    let group = start_group().await;
    let replica = &group.targets[1];
    let client = connect(group.first()).await;
    insert(&client, "before").await.unwrap();
    wait_for_row(&group, 1, "before").await;
    replica.change_faults(|faults| faults.replication_lag_ms = 60_000);
    insert(&client, "a").await.unwrap();
    wait_for_row(&group, 2, "a").await;
    assert!(is_stuck(wait_for_row(&group, 1, "a")).await);
    assert_eq!(replica.report().last.offset, 2);
    replica.change_faults(|faults| faults.replication_lag_ms = 0);
    wait_for_row(&group, 1, "a").await;
}

#[tokio::test]
async fn the_apply_lag_keeps_held_entries_from_reads() {
    let group = start_group().await;
    let replica = &group.targets[1];
    replica.change_faults(|faults| faults.apply_lag_ms = 60_000);
    insert(&connect(group.first()).await, "a").await.unwrap();
    wait_until("the replica holds it", || replica.report().last.offset == 2).await;
    assert_eq!(replica.value_of("t", "a"), None);
    let client = connect(replica).await;
    let short = query(&client, "SELECT group_wait('1/2', 50)")
        .await
        .unwrap();
    assert_eq!(short[0][3], "1/2");
    assert_ne!(short[0][4], "1/2", "the time is over first");
    let long = query(&client, "SELECT group_wait('1/2', 5000)");
    tokio::pin!(long);
    assert!(is_stuck(&mut long).await);
    replica.change_faults(|faults| faults.apply_lag_ms = 0);
    assert_eq!(long.await.unwrap()[0][4], "1/2");
}

#[tokio::test]
async fn a_fenced_primary_takes_no_writes() {
    let group = start_group().await;
    let client = connect(group.first()).await;
    let open = connect(group.first()).await;
    query(&open, "BEGIN").await.unwrap();
    insert(&open, "open").await.unwrap();
    let answer = query(&client, "SELECT group_fence(2, 'agent-1')").await;
    let row = answer.unwrap().remove(0);
    assert_eq!((&*row[1], &*row[2], &*row[6]), ("fenced", "2", "t"));
    assert_eq!(insert(&client, "a").await.unwrap_err(), "25006");
    assert_eq!(query(&open, "COMMIT").await.unwrap_err(), "25006");
    assert_eq!(group.first().value_of("t", "open"), None);
}

#[tokio::test]
async fn a_term_goes_to_one_claimant() {
    let group = start_group().await;
    let client = connect(&group.targets[1]).await;
    for (call, granted) in [
        ("group_fence(2, 'agent-1')", "t"),
        ("group_fence(2, 'agent-2')", "f"),
        ("group_fence(2, 'agent-1')", "t"),
        ("group_promote(2, 'agent-2')", "f"),
        ("group_promote(1, 't-1')", "f"),
        ("group_follow(1, 't-1', '127.0.0.1:1')", "f"),
        ("group_promote(2, 'agent-1')", "t"),
        ("group_promote(2, 'agent-1')", "t"),
        ("group_follow(2, 't-1', '127.0.0.1:1')", "f"),
    ] {
        let answer = query(&client, &format!("SELECT {call}")).await.unwrap();
        assert_eq!(answer[0][6], granted, "{call}");
    }
    let report = group.targets[1].report();
    assert_eq!(report.last.to_string(), "2/2", "one opening entry");
}

#[tokio::test]
async fn an_old_primary_comes_back_and_drops_what_only_it_had() {
    let group = start_group().await;
    let old = connect(group.first()).await;
    insert(&old, "kept").await.unwrap();
    wait_for_row(&group, 1, "kept").await;
    wait_for_row(&group, 2, "kept").await;
    for replica in &group.targets[1..] {
        replica.change_faults(|faults| faults.replication_cut = true);
    }
    insert(&old, "lost").await.unwrap();
    let new = connect(&group.targets[1]).await;
    let (fenced, promoted) = promote(&new, 2).await;
    assert_eq!((&*fenced[6], &*promoted[1]), ("t", "primary"));
    insert(&new, "new").await.unwrap();
    let address = group.targets[1].address();
    let follow = format!("SELECT group_follow(2, 't-2', '{address}')");
    query(&old, &follow).await.unwrap();
    wait_for_row(&group, 0, "new").await;
    assert_eq!(group.first().value_of("t", "lost"), None);
    assert_eq!(group.first().value_of("t", "kept").as_deref(), Some("v"));
    assert_eq!(group.first().report(), {
        let mut report = group.targets[1].report();
        report.target = "t-1".to_owned();
        report.role = MemberRole::Replica;
        report
    });
}

#[tokio::test]
async fn a_replica_that_granted_a_term_takes_no_entries_of_smaller_ones() {
    let group = start_group().await;
    let replica = &group.targets[1];
    wait_until("it follows", || replica.report().last.offset == 1).await;
    assert!(replica.fence(LeaderTerm::new(2), "agent-1"));
    insert(&connect(group.first()).await, "a").await.unwrap();
    wait_for_row(&group, 2, "a").await;
    assert_eq!(replica.report().last.offset, 1);
}

#[tokio::test]
async fn a_replica_follows_again_after_the_primary_was_down() {
    let group = start_group().await;
    group.first().set_down(true);
    tokio::time::sleep(Duration::from_millis(50)).await;
    group.first().set_down(false);
    insert(&connect(group.first()).await, "a").await.unwrap();
    wait_for_row(&group, 1, "a").await;
}

#[tokio::test]
async fn a_wait_ends_when_the_term_has_passed() {
    let group = start_group().await;
    let client = connect(&group.targets[1]).await;
    let wait = query(&client, "SELECT group_wait('1/100', 60000)");
    tokio::pin!(wait);
    assert!(is_stuck(&mut wait).await);
    assert!(group.targets[1].fence(LeaderTerm::new(2), "agent-1"));
    assert_eq!(wait.await.unwrap()[0][2], "2");
}
