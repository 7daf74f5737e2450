use std::time::Duration;

use mustardhinge_core::prelude::*;
use mustardhinge_rpc::AgentApiClient;
use mustardhinge_rpc::control::{ControlRequest, ControlState};
use tokio::time::sleep;

use super::scaffold::{Fleet, KEY_DIGEST, SERVICE, control_client, control_state, wait_for_state};

fn rate(state: &ControlState) -> Option<String> {
    let customers = &state.services.first()?.document.customers;
    Some(customers.first()?.rate.to_string())
}

#[tokio::test]
async fn an_accepted_document_comes_into_force() {
    let fleet = Fleet::start().await;
    let agent = fleet.start_agent(0, "").await;
    let state = wait_for_state(&agent, "the document", |state| rate(state).is_some()).await;
    let version = state.services[0].version;
    assert!(state.proof_age_ms.is_some());
    assert!(agent.is_ready());
    fleet.put_document(version.get(), "second", &fleet.document("41/s"));
    let is_new = |state: &ControlState| rate(state).as_deref() == Some("41/s");
    let state = wait_for_state(&agent, "the new rate", is_new).await;
    assert!(state.services[0].version > version);
    agent.stop().await;
}

#[tokio::test]
async fn a_bad_document_leaves_the_one_before_in_force() {
    let fleet = Fleet::start().await;
    let agent = fleet.start_agent(0, "").await;
    let state = wait_for_state(&agent, "the document", |state| rate(state).is_some()).await;
    let version = state.services[0].version.get();
    let bad = fleet.put_document(version, "bad", &fleet.document("-1/s"));
    sleep(Duration::from_millis(300)).await;
    assert_eq!(rate(&control_state(&agent).await).as_deref(), Some("40/s"));
    fleet.put_document(bad, "good", &fleet.document("42/s"));
    let is_new = |state: &ControlState| rate(state).as_deref() == Some("42/s");
    wait_for_state(&agent, "the mended document", is_new).await;
    agent.stop().await;
}

#[tokio::test]
async fn proof_ages_while_the_store_is_out_and_comes_back_with_it() {
    let fleet = Fleet::start().await;
    let agent = fleet.start_agent(0, "").await;
    wait_for_state(&agent, "proof", |state| state.proof_age_ms.is_some()).await;
    fleet.platform.set_frozen(true);
    let is_old = |state: &ControlState| state.proof_age_ms > Some(1_500);
    let state = wait_for_state(&agent, "old proof", is_old).await;
    assert!(rate(&state).is_some());
    fleet.platform.set_frozen(false);
    let is_young = |state: &ControlState| state.proof_age_ms < Some(1_000);
    wait_for_state(&agent, "young proof", is_young).await;
    agent.stop().await;
}

#[tokio::test]
async fn digests_stand_in_the_document_of_the_entry() {
    let fleet = Fleet::start().await;
    let agent = fleet.start_agent(0, "").await;
    let state = wait_for_state(&agent, "the document", |state| rate(state).is_some()).await;
    let document = &state.services[0].document;
    assert_eq!(document.service, SERVICE.parse::<ServiceId>().unwrap());
    assert_eq!(document.customers[0].keys[0].to_string(), KEY_DIGEST);
    agent.stop().await;
}

#[tokio::test]
async fn the_time_that_a_question_waits_does_not_age_the_proof() {
    let fleet = Fleet::start().await;
    let agent = fleet.start_agent(0, "").await;
    let state = wait_for_state(&agent, "the document", |state| rate(state).is_some()).await;
    fleet.platform.set_frozen(true);
    sleep(Duration::from_secs(1)).await;
    let before = control_state(&agent).await;
    let request = ControlRequest {
        agent_incarnation: state.agent_incarnation,
        known_revision: before.revision,
        wait_ms: 1_000,
    };
    let client = control_client(&agent);
    let after = client.control_state(request).await.unwrap();
    let age_ms = before.proof_age_ms.unwrap();
    assert!(age_ms >= 500, "{age_ms}");
    assert!(
        after.proof_age_ms < Some(age_ms + 700),
        "{:?}",
        after.proof_age_ms
    );
}

#[tokio::test]
async fn the_entry_is_told_of_changes_only() {
    let fleet = Fleet::start().await;
    let agent = fleet.start_agent(0, "").await;
    let state = wait_for_state(&agent, "the document", |state| rate(state).is_some()).await;
    let mut request = ControlRequest {
        agent_incarnation: state.agent_incarnation,
        known_revision: state.revision,
        wait_ms: 0,
    };
    let client = control_client(&agent);
    let news = client.control_state(request.clone()).await.unwrap();
    assert!(news.services.is_empty());
    request.agent_incarnation += 1;
    let all = client.control_state(request).await.unwrap();
    assert_eq!(all.services.len(), 1);
}

#[tokio::test]
async fn a_planned_stop_serves_the_entry_until_it_is_gone() {
    let fleet = Fleet::start().await;
    let agent = fleet.start_agent(0, "").await;
    let state = wait_for_state(&agent, "the document", |state| rate(state).is_some()).await;
    let client = control_client(&agent);
    let entry = tokio::spawn(async move {
        let mut ages = Vec::new();
        for _ in 0..10 {
            let request = ControlRequest {
                agent_incarnation: state.agent_incarnation,
                known_revision: u64::MAX,
                wait_ms: 200,
            };
            let answer = client.control_state(request).await.unwrap();
            ages.push((answer.draining, answer.proof_age_ms));
        }
        ages
    });
    sleep(Duration::from_millis(300)).await;
    agent.stop().await;
    let ages = entry.await.unwrap();
    assert!(ages.last().unwrap().0);
    assert!(
        ages.iter().all(|(_, age_ms)| *age_ms < Some(1_500)),
        "{ages:?}"
    );
}
