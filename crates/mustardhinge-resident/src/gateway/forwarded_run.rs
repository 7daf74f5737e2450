use std::cell::RefCell;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;
use std::time::Duration;

use mustardhinge_core::prelude::{LogPosition, MonotonicTime};
use mustardhinge_core::primary_lease::GroupEpoch;

use super::forward_session::ForwardSession;
use super::{ForwardedWork, NotRunCause, WorkAnswer, WorkStep};
use crate::adapter::{SessionCodec, TargetFault, TransactionState};
use crate::node::{DrainPhase, NodeState};
use crate::plan::{PlanRoute, ReadRule};
use crate::session::{
    EpochGuard, LinkStep, LinkWork, SessionRequest, SessionValues, WorkFault, await_floor,
    run_work, watch_failure,
};
use crate::target::{LinkError, LinkLease, TargetHandle};

/// A read that waited for its turn for longer than this looks for a newer position: part of the
/// margin by which the allowed age is reduced.
const FLOOR_LASTS: Duration = Duration::from_millis(75);

/// A forwarded statement as it is run here, as if its caller had come to this instance.
#[derive(Debug)]
pub(super) struct ForwardedRun {
    number: u64,
    step: WorkStep,
    request: SessionRequest,
    values: SessionValues,
    epoch: Option<GroupEpoch>,
    floor: Option<LogPosition>,
    age: Option<Duration>,
}

impl ForwardedRun {
    /// Makes the statement of an instance's process, which sent it at `sent_at`.
    pub(super) fn new(work: ForwardedWork, incarnation: u64, sent_at: MonotonicTime) -> Self {
        let session = session_here(incarnation, work.session);
        let name = work.prepared.as_ref().map(|prepared| prepared.name.clone());
        let values = SessionValues::forwarded(session, work.generation, work.values, work.prepared);
        let route = PlanRoute {
            service: work.service,
            read_rule: ReadRule::Primary,
            statement_timeout: Duration::from_millis(work.timeout_ms.into()),
            objective: Duration::from_millis(work.objective_ms.into()),
            priority: 0,
            is_public: false,
        };
        Self {
            number: work.number,
            step: work.step,
            request: SessionRequest {
                id: work.id,
                text: work.text,
                name,
                writes: work.writes,
                route: Rc::new(route),
                customer: work.customer,
                session,
                came_at: sent_at - Duration::from_micros(work.waited),
                sent: RefCell::new(None),
            },
            values,
            epoch: work.epoch,
            floor: work.floor,
            age: work.age_ms.map(|age| Duration::from_millis(age.into())),
        }
    }

    /// Runs it at the target.
    pub(super) async fn run<W: SessionCodec>(
        &self,
        session: &ForwardSession,
        target: &Rc<TargetHandle>,
    ) -> WorkAnswer {
        let node = session.node();
        let came_at = node.clock.now();
        let mut lease = match self.take_lease::<W>(session, target).await {
            Ok(lease) => lease,
            Err(cause) => return WorkAnswer::NotRun(cause),
        };
        let floor = match self.age {
            Some(age) => self.renew_floor::<W>(node, age, came_at).await,
            None => self.floor,
        };
        let result = run_work::<W>(node, &mut lease, self.link_work(floor)).await;
        let now = node.clock.now();
        match result {
            Ok(reply) => {
                if reply.state == TransactionState::Idle {
                    lease.give_back(now);
                } else {
                    session.pin(self.step.pin().unwrap_or(self.number), lease, now);
                }
                WorkAnswer::Replied(reply.into())
            }
            Err(WorkFault::NotRun(LinkError::EpochEnded)) => {
                WorkAnswer::NotRun(NotRunCause::EpochOver)
            }
            Err(WorkFault::NotRun(_)) => WorkAnswer::NotRun(cause_at(target)),
            Err(WorkFault::Lost(error)) => WorkAnswer::Lost {
                is_silent: matches!(error, LinkError::Silent),
            },
        }
    }

    fn link_work(&self, floor: Option<LogPosition>) -> LinkWork<'_> {
        LinkWork {
            request: &self.request,
            values: &self.values,
            step: match self.step {
                WorkStep::Single => LinkStep::Single,
                WorkStep::Begin { read_only } => LinkStep::Begin { read_only },
                WorkStep::Within { .. } => LinkStep::Within,
                WorkStep::Commit { .. } => LinkStep::Commit,
                WorkStep::Rollback { .. } => LinkStep::Rollback,
            },
            epoch: self.epoch,
            guard: EpochGuard::Forwarded,
            floor,
            age: None,
        }
    }

    /// Takes the transaction's connection, or waits for one. The caller may have gone by then.
    async fn take_lease<W: SessionCodec>(
        &self,
        session: &ForwardSession,
        target: &Rc<TargetHandle>,
    ) -> Result<LinkLease, NotRunCause> {
        let node = session.node();
        if self.request.time_left(node.clock.now()).is_zero() {
            return Err(NotRunCause::Late);
        }
        if let Some(pin) = self.step.pin() {
            return session.unpin(pin).ok_or(NotRunCause::TransactionGone);
        }
        if *node.subscribe_drain().borrow() >= DrainPhase::Closing {
            return Err(NotRunCause::Leaving);
        }
        let need = self.request.link_need(node.clock.now());
        let borrowed = target.borrow_link::<W>(&need, &node.clock).await;
        let lease = borrowed.map_err(|error| refusal_of::<W>(node, target, &error))?;
        if session.is_abandoned(self.number) {
            lease.give_back(node.clock.now());
            return Err(NotRunCause::Late);
        }
        Ok(lease)
    }

    /// Returns what a read has to see that may be `age` old and came at `since`.
    async fn renew_floor<W: SessionCodec>(
        &self,
        node: &Rc<NodeState>,
        age: Duration,
        since: MonotonicTime,
    ) -> Option<LogPosition> {
        let group = node.group(&self.request.route.service);
        let now = node.clock.now();
        let known = group.floor_since(now - age);
        if known.is_some() || now.saturating_since(since) < FLOOR_LASTS {
            return self.floor.max(known);
        }
        self.floor
            .max(await_floor::<W>(node, &group, now - age).await)
    }
}

/// Returns a number for a session of another process that no other session here has: own ones
/// are counted from 1.
fn session_here(incarnation: u64, session: u64) -> u64 {
    let mut hasher = DefaultHasher::new();
    (incarnation, session).hash(&mut hasher);
    hasher.finish() | 1 << 63
}

fn refusal_of<W: SessionCodec>(
    node: &Rc<NodeState>,
    target: &Rc<TargetHandle>,
    error: &LinkError,
) -> NotRunCause {
    match error {
        LinkError::Full(after) => NotRunCause::Full {
            retry_ms: u32::try_from(after.as_millis()).unwrap_or(u32::MAX),
        },
        LinkError::TurnedAway(TargetFault::TooManyConnections) => NotRunCause::TooManyConnections,
        _ => {
            watch_failure::<W>(node, target);
            cause_at(target)
        }
    }
}

fn cause_at(target: &TargetHandle) -> NotRunCause {
    let health = target.health();
    match (health.is_failing(), health.refuses()) {
        (false, _) => NotRunCause::TooManyConnections,
        (true, true) => NotRunCause::TargetRefused,
        (true, false) => NotRunCause::TargetFailed,
    }
}
