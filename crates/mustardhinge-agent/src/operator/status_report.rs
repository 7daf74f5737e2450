use mustardhinge_config::document::TargetEntry;
use mustardhinge_core::prelude::*;
use mustardhinge_rpc::control::GroupState;
use mustardhinge_rpc::operator::{AgentStatus, GroupSummary, ServiceSummary, TargetSummary};

use super::OperatorContext;
use crate::group::WatchHandle;
use crate::state::{AdoptedDocument, KnownState};

/// Returns the status of the agent.
pub(super) fn describe_agent(context: &OperatorContext) -> AgentStatus {
    let now = context.state.now();
    let known_groups = context
        .state
        .read(|known| known.groups.changed_after(0, now));
    let groups = known_groups.into_iter();
    let groups = groups.map(|group| describe_group(context, group, now));
    let groups = groups.collect();
    context.state.read(|known| AgentStatus {
        instance: context.state.instance.clone(),
        zone: context.state.zone.clone(),
        ready: known.is_ready(now),
        draining: known.drain.is_draining(),
        proof_age_ms: known.proof_age_ms(now),
        platform_reachable: known.is_platform_reachable,
        services: summarize_services(known),
        groups,
        peers: known.peers.values().cloned().collect(),
    })
}

/// Lists the services that the agent has adopted.
pub(super) fn summarize_services(known: &KnownState) -> Vec<ServiceSummary> {
    let summarize = |known: &AdoptedDocument| ServiceSummary {
        service: known.document.service.clone(),
        version: known.version,
    };
    known.documents().map(summarize).collect()
}

fn describe_group(
    context: &OperatorContext,
    state: GroupState,
    now: MonotonicTime,
) -> GroupSummary {
    let handle = context.registry.get(&state.group);
    let targets = handle
        .as_ref()
        .map(|handle| describe_targets(context, &state.group, handle, now));
    GroupSummary {
        group: state.group,
        term: state.term,
        primary: state.primary,
        watched: handle.is_some(),
        targets: targets.unwrap_or_default(),
    }
}

fn describe_targets(
    context: &OperatorContext,
    group: &GroupId,
    handle: &WatchHandle,
    now: MonotonicTime,
) -> Vec<TargetSummary> {
    let entry = context.state.read(|known| {
        let mut groups = known.documents().map(|known| &known.document.group);
        groups.find(|entry| entry.name == *group).cloned()
    });
    let view = handle.view.borrow();
    let targets = entry.into_iter().flat_map(|entry| entry.targets);
    let describe = |target: TargetEntry| {
        let report = view.reports.report(&target.name);
        TargetSummary {
            answered: !view
                .reports
                .is_unresponsive(&target.name, now, handle.unresponsive_limit),
            role: report.map(|timed| timed.report.role.to_string()),
            applied: report.map(|timed| timed.report.applied),
            target: target.name,
            zone: target.zone,
        }
    };
    targets.map(describe).collect()
}
