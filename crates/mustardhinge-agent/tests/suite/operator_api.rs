use std::time::Duration;

use mustardhinge_agent::AgentProcess;
use mustardhinge_core::prelude::*;
use mustardhinge_rpc::operator::{
    AgentStatus, DocumentUpdate, DrainRequest, ErrorKind, KeyWithdrawal, OperatorError,
    ServiceText, SwitchoverRequest, SwitchoverResult, UpdateResult,
};
use mustardhinge_standins::platform::{InstanceEntry, InstanceState};
use mustardhinge_standins::target::member::MemberRole;
use reqwest::{Client, Method};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::sleep;

use super::scaffold::{
    Fleet, KEY_DIGEST, SERVICE, control_state, wait_for_primary, wait_for_state,
};

/// Calls the operator API of an agent.
async fn call<T: DeserializeOwned>(
    agent: &AgentProcess,
    method: Method,
    path: &str,
    body: &impl Serialize,
) -> Result<T, OperatorError> {
    let url = format!("http://{}{path}", agent.operator_address());
    let request = Client::new().request(method, url).json(body);
    let response = request.send().await.unwrap();
    if response.status().is_success() {
        return Ok(response.json().await.unwrap());
    }
    Err(response.json().await.unwrap())
}

async fn get<T: DeserializeOwned>(agent: &AgentProcess, path: &str) -> T {
    call(agent, Method::GET, path, &()).await.unwrap()
}

async fn put(
    agent: &AgentProcess,
    expected: u64,
    operation_id: &str,
    document: String,
) -> Result<UpdateResult, OperatorError> {
    let update = DocumentUpdate {
        expected_version: DocumentVersion::new(expected),
        operation_id: operation_id.parse().unwrap(),
        document,
    };
    let path = format!("/services/{SERVICE}");
    call(agent, Method::PUT, &path, &update).await
}

async fn ready_agent(fleet: &Fleet) -> (AgentProcess, u64) {
    let agent = fleet.start_agent(0, "").await;
    let has_document = |state: &mustardhinge_rpc::control::ControlState| !state.services.is_empty();
    let state = wait_for_state(&agent, "the document", has_document).await;
    let version = state.services[0].version.get();
    (agent, version)
}

#[tokio::test]
async fn an_update_is_in_force_here_when_it_is_answered() {
    let fleet = Fleet::start().await;
    let (agent, version) = ready_agent(&fleet).await;
    let result = put(&agent, version, "op-1", fleet.document("50/s"))
        .await
        .unwrap();
    let state = control_state(&agent).await;
    assert_eq!(state.services[0].version, result.version);
    let again = put(&agent, version, "op-1", fleet.document("50/s"))
        .await
        .unwrap();
    assert_eq!(
        (again.version, again.already_applied),
        (result.version, true)
    );
}

#[tokio::test]
async fn a_conflict_names_what_changed() {
    let fleet = Fleet::start().await;
    let (agent, version) = ready_agent(&fleet).await;
    let winner = put(&agent, version, "op-1", fleet.document("50/s"))
        .await
        .unwrap();
    let error = put(&agent, version, "op-2", fleet.document("40/s"))
        .await
        .unwrap_err();
    assert_eq!(
        (error.kind, error.version),
        (ErrorKind::Conflict, Some(winner.version))
    );
    let changes: Vec<_> = error.changes.iter().map(ToString::to_string).collect();
    assert_eq!(changes, ["customer[seeb].rate changed"]);
}

#[tokio::test]
async fn a_bad_document_is_refused_with_all_findings() {
    let fleet = Fleet::start().await;
    let (agent, version) = ready_agent(&fleet).await;
    let bad = fleet.document("0/s").replace("80req", "many");
    let error = put(&agent, version, "op-1", bad).await.unwrap_err();
    assert_eq!((error.kind, error.findings.len()), (ErrorKind::Findings, 2));
    assert!(fleet.platform.object("service", SERVICE).unwrap().version == version);
}

#[tokio::test]
async fn a_lost_answer_is_settled() {
    let fleet = Fleet::start().await;
    let (agent, version) = ready_agent(&fleet).await;
    fleet
        .platform
        .change_faults(|faults| faults.lose_answers = 1);
    let result = put(&agent, version, "op-1", fleet.document("50/s"))
        .await
        .unwrap();
    let stored = fleet.platform.object("service", SERVICE).unwrap();
    assert_eq!(result.version.get(), stored.version);
}

#[tokio::test]
async fn without_the_store_an_update_is_not_claimed_to_be_in_force() {
    let fleet = Fleet::start().await;
    let (agent, version) = ready_agent(&fleet).await;
    fleet.platform.set_down(true);
    let error = put(&agent, version, "op-1", fleet.document("50/s"))
        .await
        .unwrap_err();
    assert!(matches!(
        error.kind,
        ErrorKind::NotRun | ErrorKind::OutcomeUnknown
    ));
    assert!(error.retry_after_ms.is_some());
    let text: ServiceText = get(&agent, &format!("/services/{SERVICE}")).await;
    assert!(!text.from_store);
}

#[tokio::test]
async fn a_withdrawn_key_is_gone_from_the_control_state() {
    let fleet = Fleet::start().await;
    let (agent, _) = ready_agent(&fleet).await;
    let mut withdrawal = KeyWithdrawal {
        operation_id: "op-1".parse().unwrap(),
        customer: "seeb".parse().unwrap(),
        digest: KEY_DIGEST.parse().unwrap(),
    };
    let path = format!("/services/{SERVICE}/withdraw-key");
    let result: Result<UpdateResult, _> = call(&agent, Method::POST, &path, &withdrawal).await;
    assert!(!result.unwrap().already_applied);
    let state = control_state(&agent).await;
    assert!(state.services[0].document.customers[0].keys.is_empty());
    withdrawal.operation_id = "op-2".parse().unwrap();
    let again: Result<UpdateResult, _> = call(&agent, Method::POST, &path, &withdrawal).await;
    let error = again.unwrap_err();
    assert_eq!(error.kind, ErrorKind::NotFound);
    assert!(!error.message.contains(KEY_DIGEST));
}

#[tokio::test]
async fn a_drained_target_is_leaving_and_an_instance_drains() {
    let fleet = Fleet::start().await;
    let (agent, _) = ready_agent(&fleet).await;
    let drain = DrainRequest {
        operation_id: "op-1".parse().unwrap(),
        draining: true,
    };
    let path = format!("/services/{SERVICE}/targets/{SERVICE}-2/drain");
    let result: Result<UpdateResult, _> = call(&agent, Method::POST, &path, &drain).await;
    result.unwrap();
    let status: AgentStatus = call(&agent, Method::POST, "/drain", &drain).await.unwrap();
    assert!(status.draining);
    let state = control_state(&agent).await;
    let leaving: Vec<_> = state.services[0]
        .document
        .group
        .targets
        .iter()
        .map(|t| t.leaving)
        .collect();
    assert_eq!((leaving, state.draining), (vec![false, true, false], true));
}

#[tokio::test]
async fn a_switchover_promotes_the_target_asked_for() {
    let fleet = Fleet::start().await;
    let (agent, _) = ready_agent(&fleet).await;
    let (term, _) = wait_for_primary(&agent, 0).await;
    let to: TargetId = format!("{SERVICE}-3").parse().unwrap();
    let order = SwitchoverRequest {
        to: Some(to.clone()),
    };
    let path = format!("/groups/{SERVICE}/switchover");
    sleep(Duration::from_millis(300)).await;
    let result: Result<SwitchoverResult, _> = call(&agent, Method::POST, &path, &order).await;
    let result = result.unwrap();
    eprintln!("switchover took {} ms", result.took_ms);
    assert_eq!(result.primary, to);
    assert!(result.term > term);
    assert_eq!(fleet.target(&to).report().role, MemberRole::Primary);
    let status: AgentStatus = get(&agent, "/status").await;
    assert_eq!(status.groups[0].primary, Some(to));
}

#[tokio::test]
async fn answers_but_the_document_show_no_digest() {
    let fleet = Fleet::start().await;
    let (agent, version) = ready_agent(&fleet).await;
    let other = fleet.document("40/s").replace(KEY_DIGEST, &"0".repeat(64));
    put(&agent, version, "op-1", other).await.unwrap();
    let error = put(&agent, version, "op-2", fleet.document("40/s")).await;
    let error = serde_json::to_string(&error.unwrap_err()).unwrap();
    let status: AgentStatus = get(&agent, "/status").await;
    let status = serde_json::to_string(&status).unwrap();
    assert!(error.contains("customer[seeb].keys"), "{error}");
    for answer in [error, status] {
        assert!(!answer.contains(KEY_DIGEST), "{answer}");
        assert!(!answer.contains("00000000"), "{answer}");
    }
}

#[tokio::test]
async fn an_agent_that_does_not_watch_the_group_passes_a_switchover_on() {
    let fleet = Fleet::start().await;
    let mut agents = Vec::new();
    for number in 0..4 {
        let name = format!("i-{number}");
        agents.push(fleet.start_instance(&name, 0, "").await);
    }
    for agent in &agents {
        wait_for_primary(agent, 0).await;
    }
    sleep(Duration::from_secs(1)).await;
    let mut passed_on = 0;
    for agent in &agents {
        let status: AgentStatus = get(agent, "/status").await;
        if status.groups[0].watched {
            continue;
        }
        let order = SwitchoverRequest { to: None };
        let path = format!("/groups/{SERVICE}/switchover");
        let result: Result<SwitchoverResult, _> = call(agent, Method::POST, &path, &order).await;
        let result = result.unwrap();
        assert_ne!(Some(result.primary), status.groups[0].primary);
        passed_on += 1;
        sleep(Duration::from_millis(500)).await;
    }
    assert_eq!(passed_on, 3, "one agent of the zone watches the group");
}

#[tokio::test]
async fn an_instance_drains_while_the_list_says_that_it_leaves() {
    let fleet = Fleet::start().await;
    let (agent, _) = ready_agent(&fleet).await;
    let entry = |state| InstanceEntry {
        instance: "muscat-1-a".to_owned(),
        zone: "muscat-1".to_owned(),
        agent_address: agent.address(),
        state,
    };
    fleet.platform.put_instance(entry(InstanceState::Leaving));
    wait_for_state(&agent, "the drain", |state| state.draining).await;
    fleet.platform.put_instance(entry(InstanceState::Live));
    wait_for_state(&agent, "the end of the drain", |state| !state.draining).await;
}
