use std::fmt::Display;

use mustardhinge_rpc::operator::AgentStatus;

use crate::client::OperatorClient;
use crate::error::CtlError;
use crate::report::{CommandReport, TextTable};

/// Prints what the agent knows.
pub(super) async fn run(client: &OperatorClient) -> Result<CommandReport, CtlError> {
    let status: AgentStatus = client.get("/status").await?;
    Ok(CommandReport::new(status_text(&status), &status))
}

/// Writes a status as tables.
pub(super) fn status_text(status: &AgentStatus) -> String {
    let mut tables = vec![agent_table(status).to_string()];
    for table in [service_table(status), group_table(status)] {
        tables.extend(table);
    }
    tables.extend(target_table(status));
    tables.extend(peer_table(status));
    tables.join("\n")
}

fn agent_table(status: &AgentStatus) -> TextTable<6> {
    let mut table = TextTable::new(["instance", "zone", "ready", "draining", "proof", "platform"]);
    let age = status.proof_age_ms.map(|age| format!("{age} ms old"));
    let platform = if status.platform_reachable {
        "reached"
    } else {
        "out"
    };
    table.add([
        status.instance.to_string(),
        status.zone.to_string(),
        yes_or_no(status.ready),
        yes_or_no(status.draining),
        age.unwrap_or_else(|| "none".to_owned()),
        platform.to_owned(),
    ]);
    table
}

fn service_table(status: &AgentStatus) -> Option<String> {
    let mut table = TextTable::new(["service", "version"]);
    for service in &status.services {
        table.add([service.service.to_string(), service.version.to_string()]);
    }
    (!table.is_empty()).then(|| table.to_string())
}

fn group_table(status: &AgentStatus) -> Option<String> {
    let mut table = TextTable::new(["group", "term", "primary", "watched"]);
    for group in &status.groups {
        table.add([
            group.group.to_string(),
            group.term.to_string(),
            text_or_dash(group.primary.as_ref()),
            yes_or_no(group.watched),
        ]);
    }
    (!table.is_empty()).then(|| table.to_string())
}

fn target_table(status: &AgentStatus) -> Option<String> {
    let mut table = TextTable::new(["group", "target", "zone", "role", "applied", "answered"]);
    for group in &status.groups {
        for target in &group.targets {
            table.add([
                group.group.to_string(),
                target.target.to_string(),
                target.zone.to_string(),
                text_or_dash(target.role.as_ref()),
                text_or_dash(target.applied.as_ref()),
                yes_or_no(target.answered),
            ]);
        }
    }
    (!table.is_empty()).then(|| table.to_string())
}

fn peer_table(status: &AgentStatus) -> Option<String> {
    let mut table = TextTable::new(["peer", "zone", "address", "reached"]);
    for peer in &status.peers {
        table.add([
            peer.instance.to_string(),
            peer.zone.to_string(),
            peer.address.clone(),
            yes_or_no(peer.reachable),
        ]);
    }
    (!table.is_empty()).then(|| table.to_string())
}

fn yes_or_no(flag: bool) -> String {
    if flag { "yes" } else { "no" }.to_owned()
}

fn text_or_dash(value: Option<&impl Display>) -> String {
    value.map_or_else(|| "-".to_owned(), ToString::to_string)
}
