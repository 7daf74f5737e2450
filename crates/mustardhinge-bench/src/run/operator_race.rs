use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use mustardhinge_core::prelude::*;
use serde::Deserialize;

use super::{Fleet, ServiceText};
use crate::history::AcceptedUpdate;
use crate::load::SessionClock;

/// The races of a run.
const ROUNDS: u64 = 6;

/// The time between two races.
const ROUND_PAUSE: Duration = Duration::from_millis(150);

/// How long an operator waits for an answer.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(3);

/// The answer to an accepted update.
#[derive(Deserialize)]
struct UpdateAnswer {
    version: u64,
}

/// Lets two operators change the same document at once, each through another
/// agent, some times in a row; returns what they were told is accepted.
pub(super) async fn race_operators(
    fleet: &Fleet,
    clock: SessionClock,
) -> anyhow::Result<Vec<AcceptedUpdate>> {
    let client = reqwest::Client::builder()
        .timeout(OPERATOR_TIMEOUT)
        .build()?;
    let operators = [
        operator_address(fleet, 1).await?,
        operator_address(fleet, 2).await?,
    ];
    let group = &fleet.groups[0];
    let addresses = group.addresses();
    let mut accepted = Vec::new();
    for round in 0..ROUNDS {
        let expected = fleet.platform.object("service", group.service.as_str());
        let expected = expected.map_or(0, |object| object.version);
        let text = |extra_ms: u64| {
            ServiceText::new(&fleet.profile, &group.service, &addresses)
                .extra_age_ms(extra_ms.into())
                .to_toml()
        };
        let update = |operator: usize, document: String| {
            let operation = format!("race-{round}-operator-{operator}");
            let update = OperatorUpdate {
                client: &client,
                address: operators[operator],
                service: &group.service,
                operation,
            };
            update.send(expected, document, clock)
        };
        let (first, second) = tokio::join!(
            update(0, text(2 * round + 1)),
            update(1, text(2 * round + 2))
        );
        accepted.extend(first);
        accepted.extend(second);
        tokio::time::sleep(ROUND_PAUSE).await;
    }
    Ok(accepted)
}

async fn operator_address(fleet: &Fleet, index: usize) -> anyhow::Result<SocketAddr> {
    let instance = fleet.instances[index].lock().await;
    instance
        .operator_address()
        .context("the agent does not run")
}

/// One operator's update.
struct OperatorUpdate<'a> {
    client: &'a reqwest::Client,
    address: SocketAddr,
    service: &'a ServiceId,
    operation: String,
}

impl OperatorUpdate<'_> {
    /// Sends the update; returns it if the operator is told that it is accepted.
    async fn send(
        self,
        expected_version: u64,
        document: String,
        clock: SessionClock,
    ) -> Option<AcceptedUpdate> {
        let url = format!("http://{}/services/{}", self.address, self.service);
        let body = serde_json::json!({
            "expected_version": expected_version,
            "operation_id": self.operation,
            "document": document,
        });
        let answer = self.client.put(url).json(&body).send().await.ok()?;
        if !answer.status().is_success() {
            return None;
        }
        let answer: UpdateAnswer = answer.json().await.ok()?;
        Some(AcceptedUpdate {
            service: self.service.clone(),
            operation: self.operation,
            version: DocumentVersion::new(answer.version),
            at: clock.now(),
        })
    }
}
