use std::sync::Arc;
use std::time::Duration;

use mustardhinge_core::prelude::*;

use super::operation_sender::send_operation;
use super::{
    CallerConnection, EntryEndpoint, PlannedOperation, SessionClock, SessionPlan, StatementError,
};
use crate::history::{OperationKind, OperationRecord, OperationResult};

/// How often a request with an id is tried in all.
const MAX_TRIES: u32 = 3;

/// The pause before a request is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// A session that sends its plan, moving between instances.
pub struct CallerSession {
    plan: SessionPlan,
    endpoints: Arc<[EntryEndpoint]>,
    clock: SessionClock,
    instance: usize,
    connection: Option<CallerConnection>,
    token: Option<String>,
    records: Vec<OperationRecord>,
}

impl CallerSession {
    /// Makes a session that may use any of `endpoints`.
    #[must_use]
    pub fn new(plan: SessionPlan, endpoints: Arc<[EntryEndpoint]>, clock: SessionClock) -> Self {
        let instance = plan.first_instance % endpoints.len();
        Self {
            plan,
            endpoints,
            clock,
            instance,
            connection: None,
            token: None,
            records: Vec::new(),
        }
    }

    /// Sends the whole plan; returns what was asked and answered.
    pub async fn run(mut self) -> Vec<OperationRecord> {
        let operations = std::mem::take(&mut self.plan.operations);
        for operation in &operations {
            let due = self.clock.sleep_until(operation.due).await;
            if self.clock.now() >= self.clock.end {
                break;
            }
            if operation.roams {
                self.move_on();
            }
            self.send_with_retries(operation, due).await;
        }
        self.records
    }

    /// Leaves the present instance for the next one.
    fn move_on(&mut self) {
        self.connection = None;
        self.instance = (self.instance + 1) % self.endpoints.len();
    }

    async fn send_with_retries(&mut self, operation: &PlannedOperation, due: MonotonicTime) {
        let request = make_request_id(operation);
        let tries = if request.is_some() { MAX_TRIES } else { 1 };
        for _ in 0..tries {
            let record = self.send_once(operation, due, request.clone()).await;
            let is_open = record.result.is_open();
            self.records.push(record);
            if !is_open {
                return;
            }
            self.move_on();
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    async fn send_once(
        &mut self,
        operation: &PlannedOperation,
        due: MonotonicTime,
        request: Option<RequestId>,
    ) -> OperationRecord {
        let started = self.clock.now();
        let answer = self.exchange(&operation.kind, request.as_ref()).await;
        let result = match answer {
            Ok(values) => OperationResult::Completed {
                values,
                position: self.read_position(&operation.kind),
            },
            Err(error) => error.into_result(),
        };
        OperationRecord {
            number: operation.number,
            service: self.plan.service.clone(),
            customer: self.plan.customer.clone(),
            session: self.plan.session.clone(),
            instance: self.endpoints[self.instance].instance.clone(),
            request,
            kind: operation.kind.clone(),
            due,
            started,
            ended: self.clock.now(),
            result,
        }
    }

    async fn exchange(
        &mut self,
        kind: &OperationKind,
        request: Option<&RequestId>,
    ) -> Result<Vec<String>, StatementError> {
        let mut connection = match self.connection.take() {
            Some(connection) if !connection.is_closed() => connection,
            _ => self.connect().await?,
        };
        let answer = send_operation(&mut connection, kind, request).await;
        if let Some(token) = connection.get_token() {
            self.token = Some(token.to_owned());
        }
        if !matches!(answer, Err(StatementError::Broken(_))) {
            self.connection = Some(connection);
        }
        answer
    }

    /// Connects to the present instance, or to the next ones if it does not answer.
    async fn connect(&mut self) -> Result<CallerConnection, StatementError> {
        let mut failure = StatementError::Broken("no instance".to_owned());
        for _ in 0..2 {
            let address = self.endpoints[self.instance].address;
            let token = self.token.as_deref().filter(|_| self.plan.has_token);
            match CallerConnection::open(address, &self.plan, token).await {
                Ok(connection) => return Ok(connection),
                Err(error) => failure = error,
            }
            self.instance = (self.instance + 1) % self.endpoints.len();
        }
        Err(as_not_sent(failure))
    }

    fn read_position(&self, kind: &OperationKind) -> Option<LogPosition> {
        kind.written_value()?;
        self.token.as_deref()?.parse().ok()
    }
}

/// A failure to connect: the operation was never sent.
fn as_not_sent(failure: StatementError) -> StatementError {
    match failure {
        StatementError::Broken(_) => StatementError::NotRun {
            reason: "not_connected".to_owned(),
            retry_after_ms: None,
        },
        other => other,
    }
}

/// Confirmations carry a request id; orders and reassignments do not.
fn make_request_id(operation: &PlannedOperation) -> Option<RequestId> {
    match operation.kind {
        OperationKind::Confirmation { .. } => format!("r-{}", operation.number).parse().ok(),
        _ => None,
    }
}
