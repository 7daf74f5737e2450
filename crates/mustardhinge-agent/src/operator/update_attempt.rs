use std::time::Duration;

use mustardhinge_core::document::{ConditionalUpdate, UpdateStep};
use mustardhinge_core::prelude::*;
use mustardhinge_rpc::operator::{ErrorKind, OperatorError};
use tokio::time::{Instant, sleep};

use crate::platform::{
    ObjectKind, ObjectUpdate, PlatformClient, PlatformError, PutOutcome, count_retry,
};

/// Timeout of one update, including retries after lost responses.
const UPDATE_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay before a request to the platform is retried.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Retry delay suggested to the operator if an update was not run or its outcome is
/// unknown.
pub(super) const RETRY_AFTER_MS: u32 = 1_000;

/// The outcome of a conditional update.
pub(super) enum AttemptOutcome {
    /// The update was accepted.
    Accepted {
        /// The new version.
        version: DocumentVersion,
        /// Whether the update had been applied before this call.
        already_applied: bool,
    },
    /// Another update is current.
    Conflict {
        /// The current version.
        version: DocumentVersion,
        /// Whether this update may have been applied before it.
        superseded: bool,
    },
}

/// One conditional update of a document, whose outcome is determined even if
/// responses are lost.
pub(super) struct UpdateAttempt<'a> {
    platform: &'a PlatformClient,
    service: &'a ServiceId,
    update: ObjectUpdate,
    conditional_update: ConditionalUpdate,
    was_sent: bool,
    was_applied: bool,
}

impl<'a> UpdateAttempt<'a> {
    /// Creates the attempt.
    pub(super) fn new(
        platform: &'a PlatformClient,
        service: &'a ServiceId,
        update: ObjectUpdate,
    ) -> Self {
        let operation = update.operation_id.clone();
        Self {
            platform,
            service,
            conditional_update: ConditionalUpdate::new(operation, update.expected_version),
            update,
            was_sent: false,
            was_applied: false,
        }
    }

    /// Runs the update until its outcome is known or it times out.
    pub(super) async fn run(mut self) -> Result<AttemptOutcome, OperatorError> {
        let deadline = Instant::now() + UPDATE_TIMEOUT;
        let mut step = UpdateStep::Send;
        loop {
            step = match step {
                UpdateStep::Send => self.send().await,
                UpdateStep::Read => self.read().await,
                ended => return Ok(self.outcome(&ended)),
            };
            let is_pending = matches!(step, UpdateStep::Send | UpdateStep::Read);
            if is_pending && Instant::now() + RETRY_DELAY >= deadline {
                return Err(self.timeout_error());
            }
            if is_pending {
                sleep(RETRY_DELAY).await;
            }
        }
    }

    async fn send(&mut self) -> UpdateStep {
        let name = self.service.as_str();
        let response = self
            .platform
            .put_object(ObjectKind::Service, name, &self.update)
            .await;
        match response {
            Ok(PutOutcome::Accepted(version)) => self.conditional_update.on_accepted(version),
            Ok(PutOutcome::Conflict {
                version,
                operation_id,
            }) => {
                self.was_applied = !self.was_sent;
                let operation = operation_id.unwrap_or_else(unnamed_operation);
                self.conditional_update.on_conflict(version, operation)
            }
            Err(PlatformError::NotSent) if !self.was_sent => UpdateStep::Send,
            Err(error) => {
                count_retry(&error);
                self.was_sent |= !error.is_not_run();
                self.conditional_update.on_response_lost()
            }
        }
    }

    async fn read(&mut self) -> UpdateStep {
        let name = self.service.as_str();
        let found = self.platform.get_object(ObjectKind::Service, name).await;
        let Ok(found) = found else {
            return UpdateStep::Read;
        };
        let found = found.map(|object| {
            let operation = object.operation_id.unwrap_or_else(unnamed_operation);
            (object.version, operation)
        });
        self.conditional_update.on_read(found)
    }

    fn outcome(&self, step: &UpdateStep) -> AttemptOutcome {
        match step {
            UpdateStep::Accepted { version } => AttemptOutcome::Accepted {
                version: *version,
                already_applied: self.was_applied,
            },
            UpdateStep::Superseded { version, .. } => AttemptOutcome::Conflict {
                version: *version,
                superseded: true,
            },
            UpdateStep::Conflict { version, .. } => AttemptOutcome::Conflict {
                version: *version,
                superseded: false,
            },
            UpdateStep::Send | UpdateStep::Read => AttemptOutcome::Conflict {
                version: self.update.expected_version,
                superseded: self.was_sent,
            },
        }
    }

    fn timeout_error(&self) -> OperatorError {
        if self.was_sent {
            let message = "the platform's answer was lost; repeat with the same operation id";
            return OperatorError::new(ErrorKind::OutcomeUnknown, message)
                .retry_after_ms(RETRY_AFTER_MS);
        }
        platform_unavailable()
    }
}

/// Returns the error for an unreachable platform; nothing was changed.
pub(super) fn platform_unavailable() -> OperatorError {
    let message = "the platform can't be reached; nothing was changed";
    OperatorError::new(ErrorKind::NotRun, message).retry_after_ms(RETRY_AFTER_MS)
}

/// Returns the operation id used for a version without one.
pub(super) fn unnamed_operation() -> OperationId {
    "unnamed".parse().expect("a fixed text that is an id")
}
