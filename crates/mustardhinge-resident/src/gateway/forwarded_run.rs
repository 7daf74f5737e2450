use std::cell::{Cell, RefCell};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;
use std::time::Duration;

use mustardhinge_core::placement::HomeRegions;
use mustardhinge_core::prelude::{LogPosition, MonotonicTime};
use mustardhinge_core::primary_lease::GroupEpoch;

use super::origin_session::OriginSession;
use super::{ForwardedOutcome, ForwardedStatement, ForwardedStep, NotRunCause};
use crate::adapter::{SessionCodec, TargetFault, TransactionState};
use crate::node::{DrainPhase, NodeState, record_outside_home};
use crate::plan::{PlanRoute, ReadRule};
use crate::session::{
    EpochGuard, ExecutionError, SessionRequest, SessionValues, StatementExecution, TransactionStep,
    await_floor, execute, probe_if_failing,
};
use crate::target::{ConnectionError, TargetHandle, TargetLease};

/// Queuing time after which a read fetches a newer floor; part of the margin that is subtracted
/// from the maximum age.
const FLOOR_REFRESH_AFTER: Duration = Duration::from_millis(75);

/// Execution of a forwarded statement at the gateway, as if this instance had received it from the
/// caller.
#[derive(Debug)]
pub(super) struct ForwardedRun {
    number: u64,
    step: ForwardedStep,
    request: SessionRequest,
    values: SessionValues,
    epoch: Option<GroupEpoch>,
    floor: Option<LogPosition>,
    age: Option<Duration>,
}

impl ForwardedRun {
    /// Creates the execution of a statement that the origin with this incarnation sent at
    /// `sent_at`.
    pub(super) fn new(
        statement: ForwardedStatement,
        incarnation: u64,
        sent_at: MonotonicTime,
    ) -> Self {
        let session = local_session(incarnation, statement.session);
        let name = statement
            .prepared
            .as_ref()
            .map(|prepared| prepared.name.clone());
        let values = SessionValues::forwarded(
            session,
            statement.generation,
            statement.values,
            statement.prepared,
        );
        let route = PlanRoute {
            name: None,
            service: statement.service,
            read_rule: ReadRule::Primary,
            statement_timeout: Duration::from_millis(statement.timeout_ms.into()),
            objective: Duration::from_millis(statement.objective_ms.into()),
            priority: statement.priority,
            is_public: false,
            home_regions: None,
        };
        Self {
            number: statement.number,
            step: statement.step,
            request: SessionRequest {
                id: statement.id,
                text: statement.text,
                name,
                writes: statement.writes,
                route: Rc::new(route),
                customer: statement.customer,
                homes: None,
                session,
                received_at: sent_at - Duration::from_micros(statement.waited),
                last_attempt: RefCell::new(None),
                begins: Cell::new(matches!(statement.step, ForwardedStep::Begin { .. })),
            },
            values,
            epoch: statement.epoch,
            floor: statement.floor,
            age: statement
                .age_ms
                .map(|age| Duration::from_millis(age.into())),
        }
    }

    /// Restricts the statement to home regions.
    pub(super) fn home_regions(mut self, homes: Option<Rc<HomeRegions>>) -> Self {
        self.request.homes = homes;
        self
    }

    /// Runs the statement at the target.
    ///
    /// A statement within a transaction is interrupted when the origin cancels it: the origin has
    /// then abandoned the transaction, and closing the connection rolls it back.
    pub(super) async fn run<W: SessionCodec>(
        &self,
        session: &OriginSession,
        target: &Rc<TargetHandle>,
    ) -> ForwardedOutcome {
        if !matches!(self.step, ForwardedStep::Within { .. }) {
            return self.run_to_end::<W>(session, target).await;
        }
        tokio::select! {
            biased;
            () = session.wait_until_cancelled(self.number) => {
                ForwardedOutcome::Lost { is_silent: false }
            }
            outcome = self.run_to_end::<W>(session, target) => outcome,
        }
    }

    async fn run_to_end<W: SessionCodec>(
        &self,
        session: &OriginSession,
        target: &Rc<TargetHandle>,
    ) -> ForwardedOutcome {
        let node = session.node();
        let started_at = node.clock.now();
        let mut lease = match self.acquire_lease::<W>(session, target).await {
            Ok(lease) => lease,
            Err(cause) => return ForwardedOutcome::NotRun(cause),
        };
        let floor = match self.age {
            Some(age) => self.refresh_floor::<W>(node, age, started_at).await,
            None => self.floor,
        };
        let result = execute::<W>(node, &mut lease, self.execution(floor)).await;
        let now = node.clock.now();
        match result {
            Ok(reply) => {
                if reply.state == TransactionState::Idle {
                    lease.release(now);
                } else {
                    let pin = self.step.pin().unwrap_or(self.number);
                    session.pin(pin, self.number, lease, now);
                }
                ForwardedOutcome::Replied(reply.into())
            }
            Err(ExecutionError::NotRun(ConnectionError::EpochEnded)) => {
                ForwardedOutcome::NotRun(NotRunCause::EpochOver)
            }
            Err(ExecutionError::NotRun(ConnectionError::Evacuated)) => {
                ForwardedOutcome::NotRun(NotRunCause::Evacuated)
            }
            Err(ExecutionError::NotRun(ConnectionError::OutsideHome)) => {
                ForwardedOutcome::NotRun(NotRunCause::OutsideHome)
            }
            Err(ExecutionError::NotRun(_)) => ForwardedOutcome::NotRun(failure_cause(target)),
            Err(ExecutionError::Lost(error)) => ForwardedOutcome::Lost {
                is_silent: matches!(error, ConnectionError::Silent),
            },
        }
    }

    fn execution(&self, floor: Option<LogPosition>) -> StatementExecution<'_> {
        StatementExecution {
            request: &self.request,
            values: &self.values,
            step: match self.step {
                ForwardedStep::Single => TransactionStep::Single,
                ForwardedStep::Begin { read_only } => TransactionStep::Begin { read_only },
                ForwardedStep::Within { .. } => TransactionStep::Within,
                ForwardedStep::Commit { .. } => TransactionStep::Commit,
                ForwardedStep::Rollback { .. } => TransactionStep::Rollback,
            },
            epoch: self.epoch,
            guard: EpochGuard::Forwarded,
            floor,
            max_staleness: None,
        }
    }

    /// Returns the lease of the transaction, or waits for a new one. Fails if the origin has
    /// cancelled the statement by then.
    async fn acquire_lease<W: SessionCodec>(
        &self,
        session: &OriginSession,
        target: &Rc<TargetHandle>,
    ) -> Result<TargetLease, NotRunCause> {
        let node = session.node();
        if self.request.time_left(node.clock.now()).is_zero() {
            return Err(NotRunCause::Late);
        }
        if let Some(pin) = self.step.pin() {
            let pinned = session.take_pinned(pin);
            let open = pinned.filter(|lease| !lease.is_ended());
            return open.ok_or(NotRunCause::TransactionGone);
        }
        if *node.subscribe_drain().borrow() >= DrainPhase::Closing {
            return Err(NotRunCause::Leaving);
        }
        if !node.allows_target(self.request.homes.as_deref(), target) {
            record_outside_home("gateway");
            return Err(NotRunCause::OutsideHome);
        }
        let request = self.request.connection_request(node.clock.now());
        let request = node.with_customer_weight(request);
        let acquired = target.acquire_lease::<W>(&request, &node.clock).await;
        let lease = acquired.map_err(|error| not_run_cause::<W>(node, target, &error))?;
        if session.is_cancelled(self.number) {
            lease.release(node.clock.now());
            return Err(NotRunCause::Late);
        }
        Ok(lease)
    }

    /// Returns the floor of a read that started at `since` with the maximum age `age`, fetching a
    /// newer one if required.
    async fn refresh_floor<W: SessionCodec>(
        &self,
        node: &Rc<NodeState>,
        age: Duration,
        since: MonotonicTime,
    ) -> Option<LogPosition> {
        let group = node.group(&self.request.route.service);
        let now = node.clock.now();
        let known = group.floor_since(now - age);
        if known.is_some() || now.saturating_since(since) < FLOOR_REFRESH_AFTER {
            return self.floor.max(known);
        }
        self.floor
            .max(await_floor::<W>(node, &group, now - age).await)
    }
}

/// Returns the local number of a session of another process. The high bit keeps it distinct from
/// the sessions of this process, which are numbered from 1.
fn local_session(incarnation: u64, session: u64) -> u64 {
    let mut hasher = DefaultHasher::new();
    (incarnation, session).hash(&mut hasher);
    hasher.finish() | 1 << 63
}

fn not_run_cause<W: SessionCodec>(
    node: &Rc<NodeState>,
    target: &Rc<TargetHandle>,
    error: &ConnectionError,
) -> NotRunCause {
    match error {
        ConnectionError::Full(after) => NotRunCause::Full {
            retry_ms: u32::try_from(after.as_millis()).unwrap_or(u32::MAX),
        },
        ConnectionError::TurnedAway(TargetFault::TooManyConnections) => {
            NotRunCause::TooManyConnections
        }
        ConnectionError::Evacuated => NotRunCause::Evacuated,
        _ => {
            probe_if_failing::<W>(node, target);
            failure_cause(target)
        }
    }
}

fn failure_cause(target: &TargetHandle) -> NotRunCause {
    let health = target.health();
    match (health.is_failing(), health.is_refused()) {
        (false, _) => NotRunCause::TooManyConnections,
        (true, true) => NotRunCause::TargetRefused,
        (true, false) => NotRunCause::TargetFailed,
    }
}
