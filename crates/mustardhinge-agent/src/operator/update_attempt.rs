use std::time::Duration;

use mustardhinge_core::document::{ConditionalUpdate, UpdateStep};
use mustardhinge_core::prelude::*;
use mustardhinge_rpc::operator::{ErrorKind, OperatorError};
use tokio::time::{Instant, sleep};

use crate::platform::{
    ObjectKind, ObjectUpdate, PlatformClient, PlatformError, PutOutcome, count_retry,
};

/// How long one update may take, lost answers included.
const UPDATE_TIMEOUT: Duration = Duration::from_secs(5);
/// The wait before the platform is asked again.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// When to come back after an update that has not run.
pub(super) const RETRY_AFTER_MS: u32 = 1_000;

/// How one conditional update ended.
pub(super) enum AttemptOutcome {
    /// It is in force.
    Accepted {
        /// The version.
        version: DocumentVersion,
        /// Whether it was in force before this call.
        already_applied: bool,
    },
    /// Another update is in force.
    Conflict {
        /// The version in force.
        version: DocumentVersion,
        /// Whether this one may have been in force before it.
        superseded: bool,
    },
}

/// One conditional update of a document, settled although answers may be lost.
pub(super) struct UpdateAttempt<'a> {
    platform: &'a PlatformClient,
    service: &'a ServiceId,
    update: ObjectUpdate,
    conditional_update: ConditionalUpdate,
    was_sent: bool,
    was_applied: bool,
}

impl<'a> UpdateAttempt<'a> {
    /// Makes the attempt.
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

    /// Runs the update until its outcome is known or the time is over.
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

/// Says that the platform can't be reached and nothing was changed.
pub(super) fn platform_unavailable() -> OperatorError {
    let message = "the platform can't be reached; nothing was changed";
    OperatorError::new(ErrorKind::NotRun, message).retry_after_ms(RETRY_AFTER_MS)
}

/// The operation of a version that names none.
pub(super) fn unnamed_operation() -> OperationId {
    "unnamed".parse().expect("a fixed text that is an id")
}
