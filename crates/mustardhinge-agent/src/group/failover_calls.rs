use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use mustardhinge_core::failover::{ClaimOutcome, FailoverAction, FailoverEvent};
use mustardhinge_core::prelude::*;
use mustardhinge_core::replication::ServerReport;
use tokio::time::timeout;

use super::GroupContext;
use super::claim_record::ClaimRecord;
use super::primary_record::PrimaryRecord;
use super::target_probe::probe_once;
use crate::platform::{ObjectKind, ObjectUpdate, PlatformError, PutOutcome, StoredObject};
use crate::target::{TargetClient, TargetError};

/// Executes the actions of a failover machine against targets and the platform.
#[derive(Clone)]
pub(super) struct FailoverCalls {
    pub(super) group: GroupId,
    pub(super) context: GroupContext,
    pub(super) clients: Arc<BTreeMap<TargetId, Arc<TargetClient>>>,
    pub(super) addresses: Arc<BTreeMap<TargetId, SocketAddr>>,
}

impl FailoverCalls {
    /// Executes one action and returns the resulting event for the machine.
    pub(super) async fn run(self, action: FailoverAction) -> Option<FailoverEvent> {
        match action {
            FailoverAction::RequestReport { target } => self.request_report(&target).await,
            FailoverAction::Claim { term } => Some(self.claim(term).await),
            FailoverAction::Fence { target, term } => self.fence(&target, term).await,
            FailoverAction::Promote { target, term } => self.promote(&target, term).await,
            FailoverAction::Follow {
                target,
                term,
                primary,
            } => self.follow(&target, term, &primary).await,
            FailoverAction::Publish { term, primary } => Some(self.publish(term, primary).await),
            FailoverAction::HoldWrites { .. }
            | FailoverAction::ReleaseWrites
            | FailoverAction::RefuseSwitchover(_) => None,
        }
    }

    async fn request_report(&self, target: &TargetId) -> Option<FailoverEvent> {
        let client = self.clients.get(target)?;
        let context = &self.context;
        probe_once(target, client, context.timing, &context.state).await
    }

    async fn fence(&self, target: &TargetId, term: LeaderTerm) -> Option<FailoverEvent> {
        let claimant = &self.context.claimant;
        let statement = format!("SELECT group_fence({term}, '{claimant}')");
        let answer = self.change("fence", target, &statement).await?;
        Some(match answer {
            Ok((report, granted)) => FailoverEvent::FenceResponse {
                term,
                report,
                granted,
            },
            Err(event) => event,
        })
    }

    async fn promote(&self, target: &TargetId, term: LeaderTerm) -> Option<FailoverEvent> {
        let claimant = &self.context.claimant;
        let statement = format!("SELECT group_promote({term}, '{claimant}')");
        let answer = self.change("promote", target, &statement).await?;
        Some(match answer {
            Ok((report, granted)) => FailoverEvent::PromoteResponse {
                term,
                report,
                granted,
            },
            Err(event) => event,
        })
    }

    async fn follow(
        &self,
        target: &TargetId,
        term: LeaderTerm,
        primary: &TargetId,
    ) -> Option<FailoverEvent> {
        let address = self.addresses.get(primary)?;
        let statement = format!("SELECT group_follow({term}, '{primary}', '{address}')");
        let requested_at = self.context.state.now();
        let answer = self.change("follow", target, &statement).await?;
        Some(match answer {
            Ok((report, _)) => FailoverEvent::Reported {
                report,
                requested_at,
            },
            Err(event) => event,
        })
    }

    async fn change(
        &self,
        call: &'static str,
        target: &TargetId,
        statement: &str,
    ) -> Option<Result<(ServerReport, bool), FailoverEvent>> {
        let client = self.clients.get(target)?;
        let step_timeout = self.context.settings.get_step_timeout();
        let answer = client.change(statement, step_timeout).await;
        let result = match &answer {
            Ok((_, true)) => "granted",
            Ok((_, false)) => "denied",
            Err(_) => "no_answer",
        };
        metrics::counter!("mustardhinge_group_calls_total", "call" => call, "result" => result)
            .increment(1);
        match answer {
            Ok(answer) => Some(Ok(answer)),
            Err(TargetError::Refused) => Some(Err(FailoverEvent::ConnectionRefused {
                target: target.clone(),
            })),
            Err(TargetError::Declined(_)) => Some(Err(FailoverEvent::ConnectionDeclined {
                target: target.clone(),
            })),
            Err(_) => None,
        }
    }

    async fn claim(&self, term: LeaderTerm) -> FailoverEvent {
        let claim_timeout = self.context.settings.get_claim_timeout();
        let answer = timeout(claim_timeout, self.put_claim(term)).await;
        let outcome = match answer {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) | Err(_) => ClaimOutcome::Unavailable,
        };
        FailoverEvent::ClaimResponse { term, outcome }
    }

    async fn put_claim(&self, term: LeaderTerm) -> Result<ClaimOutcome, PlatformError> {
        let found = self.get(ObjectKind::Claim).await?;
        let claimed = found.as_ref().and_then(read_value::<ClaimRecord>);
        if let Some(claimed) = claimed.filter(|claimed| claimed.term >= term) {
            let is_own = claimed.claimant == self.context.claimant && claimed.term == term;
            return Ok(if is_own {
                ClaimOutcome::Won
            } else {
                ClaimOutcome::Lost { term: claimed.term }
            });
        }
        let record = ClaimRecord {
            term,
            claimant: self.context.claimant.clone(),
        };
        let outcome = self.put(ObjectKind::Claim, found, term, &record).await?;
        Ok(match outcome {
            PutOutcome::Accepted(_) => ClaimOutcome::Won,
            PutOutcome::Conflict { .. } => ClaimOutcome::Lost { term },
        })
    }

    async fn publish(&self, term: LeaderTerm, primary: TargetId) -> FailoverEvent {
        let is_published = self.put_primary(term, primary).await.unwrap_or(false);
        FailoverEvent::PublishResponse { term, is_published }
    }

    async fn put_primary(
        &self,
        term: LeaderTerm,
        primary: TargetId,
    ) -> Result<bool, PlatformError> {
        let found = self.get(ObjectKind::Group).await?;
        let published = found.as_ref().and_then(read_value::<PrimaryRecord>);
        if published.is_some_and(|published| published.term >= term) {
            return Ok(true);
        }
        let record = PrimaryRecord {
            term,
            primary,
            claimant: self.context.claimant.clone(),
        };
        let outcome = self.put(ObjectKind::Group, found, term, &record).await?;
        Ok(matches!(outcome, PutOutcome::Accepted(_)))
    }

    async fn get(&self, kind: ObjectKind) -> Result<Option<StoredObject>, PlatformError> {
        let name = self.group.as_str();
        self.context.platform.get_object(kind, name).await
    }

    async fn put(
        &self,
        kind: ObjectKind,
        found: Option<StoredObject>,
        term: LeaderTerm,
        record: &impl serde::Serialize,
    ) -> Result<PutOutcome, PlatformError> {
        let operation = format!("{}:{term}", self.context.claimant);
        let update = ObjectUpdate {
            expected_version: found.map(|object| object.version).unwrap_or_default(),
            operation_id: operation
                .parse()
                .map_err(|_| PlatformError::InvalidResponse)?,
            value: serde_json::to_value(record).map_err(|_| PlatformError::InvalidResponse)?,
        };
        let name = self.group.as_str();
        self.context.platform.put_object(kind, name, &update).await
    }
}

fn read_value<T: serde::de::DeserializeOwned>(object: &StoredObject) -> Option<T> {
    T::deserialize(&object.value).ok()
}
