use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use mustardhinge_core::connection::TransactionNumber;
use mustardhinge_core::prelude::MonotonicTime;
use mustardhinge_process::BootClock;

use super::leased_work::LeasedWork;
use super::running_statement::RunningStatement;
use super::{ConnectionError, ResponseTimeouts, TargetConnection, TargetHandle, TargetReply};
use crate::adapter::{SessionCodec, TargetFault, TransactionState};
use crate::gateway::ForwardedConnection;

/// The path by which a leased session reaches its target.
#[derive(Debug)]
enum LeasedConnection {
    /// A connection from this instance to the target.
    Direct(Box<TargetConnection>),
    /// Forwarding through the target's gateway.
    Forwarded(ForwardedConnection),
    /// A connection from this instance whose transaction is idle and may be ended meanwhile, under
    /// overload control.
    Idle(TransactionNumber),
    /// None, after a failed exchange or the end of an idle transaction.
    Closed,
}

impl LeasedConnection {
    fn take(&mut self) -> Self {
        std::mem::replace(self, Self::Closed)
    }
}

/// Exclusive use of a connection to a target by one session.
///
/// A lease that is dropped without [`release`](Self::release) closes its connection.
#[derive(Debug)]
pub struct TargetLease {
    target: Rc<TargetHandle>,
    connection: LeasedConnection,
    holds_reservation: bool,
    work: Option<LeasedWork>,
}

impl TargetLease {
    pub(super) fn new(target: Rc<TargetHandle>, connection: TargetConnection) -> Self {
        Self {
            target,
            connection: LeasedConnection::Direct(Box::new(connection)),
            holds_reservation: true,
            work: None,
        }
    }

    /// Sets the work whose slot time is recorded when the lease ends.
    pub(super) const fn work(mut self, work: Option<LeasedWork>) -> Self {
        self.work = work;
        self
    }

    /// Returns whether the lease was acquired under overload control and its slot time is recorded.
    #[must_use]
    pub const fn has_work(&self) -> bool {
        self.work.is_some()
    }

    /// Creates a lease that forwards through the target's gateway.
    #[must_use]
    pub fn forwarded(target: Rc<TargetHandle>, connection: ForwardedConnection) -> Self {
        target.begin_forward();
        Self {
            target,
            connection: LeasedConnection::Forwarded(connection),
            holds_reservation: false,
            work: None,
        }
    }

    /// Returns the leased target.
    #[must_use]
    pub const fn target(&self) -> &Rc<TargetHandle> {
        &self.target
    }

    /// Returns the connection, or `None` after a failed exchange and for a forwarded lease.
    pub fn connection_mut(&mut self) -> Option<&mut TargetConnection> {
        self.unpark();
        match &mut self.connection {
            LeasedConnection::Direct(connection) => Some(connection),
            LeasedConnection::Forwarded(_)
            | LeasedConnection::Idle(_)
            | LeasedConnection::Closed => None,
        }
    }

    /// Returns the virtual connection through the gateway, or `None` if the lease doesn't forward.
    pub const fn forwarded_mut(&mut self) -> Option<&mut ForwardedConnection> {
        match &mut self.connection {
            LeasedConnection::Forwarded(connection) => Some(connection),
            LeasedConnection::Direct(_) | LeasedConnection::Idle(_) | LeasedConnection::Closed => {
                None
            }
        }
    }

    /// Returns whether the transaction of the lease was ended while it was idle.
    #[must_use]
    pub fn is_ended(&self) -> bool {
        matches!(self.connection, LeasedConnection::Idle(number) if !self.target.idle.contains(number))
    }

    /// Stores the connection of an open transaction until its next statement, under overload
    /// control.
    fn park(&mut self, now: MonotonicTime) {
        // Overload control may have been turned off since the lease was acquired.
        let work = self.work.filter(|_| self.target.is_overload_controlled());
        let Some(work) = work else {
            return;
        };
        match self.connection.take() {
            LeasedConnection::Direct(connection) if connection.state != TransactionState::Idle => {
                let number = self.target.idle.park(connection, work.weight, now);
                self.connection = LeasedConnection::Idle(number);
            }
            other => self.connection = other,
        }
    }

    /// Takes the connection of an idle transaction for a statement, unless the transaction was ended.
    fn unpark(&mut self) {
        if let LeasedConnection::Idle(number) = self.connection {
            let connection = self.target.idle.take(number);
            self.connection = connection.map_or(LeasedConnection::Closed, LeasedConnection::Direct);
        }
    }

    /// Sends the connection's output buffer and reads `count` responses.
    ///
    /// # Errors
    ///
    /// Returns an error and closes the connection if the connection breaks or a response times
    /// out.
    pub async fn exchange<W: SessionCodec>(
        &mut self,
        count: usize,
        timeouts: ResponseTimeouts,
        clock: &BootClock,
    ) -> Result<Vec<TargetReply>, ConnectionError> {
        let never = std::future::pending();
        self.exchange_until::<W>(count, timeouts, clock, never)
            .await
    }

    /// Like [`exchange`](Self::exchange), but stops when `ended` completes, since the responses are
    /// then no longer valid.
    ///
    /// # Errors
    ///
    /// Returns an error and closes the connection in the same cases as
    /// [`exchange`](Self::exchange), and if `ended` completes first.
    pub async fn exchange_until<W: SessionCodec>(
        &mut self,
        count: usize,
        timeouts: ResponseTimeouts,
        clock: &BootClock,
        ended: impl Future<Output = ()>,
    ) -> Result<Vec<TargetReply>, ConnectionError> {
        self.unpark();
        let LeasedConnection::Direct(connection) = &mut self.connection else {
            return Err(ConnectionError::Closed);
        };
        let target = &self.target;
        let sent_at = clock.now();
        let running = RunningStatement::begin(target);
        if std::mem::take(&mut self.holds_reservation) {
            target.release_reservation();
        }
        let on_unresponsive = || {
            // Relative to the current time instead of `sent_at`: this process may have been paused.
            target.record_failure(clock.now() - timeouts.unresponsive_after, false);
        };
        let result = tokio::select! {
            biased;
            result = connection.exchange::<W>(count, timeouts, on_unresponsive) => result,
            () = ended => Err(ConnectionError::EpochEnded),
        };
        let now = clock.now();
        match &result {
            Ok(replies) => {
                connection.used_at = now;
                let elapsed = now.saturating_since(sent_at);
                if let Some(work) = &mut self.work {
                    work.slot_time += elapsed;
                }
                metrics::histogram!("resident_target_seconds", "kind" => timeouts.kind)
                    .record(elapsed.as_secs_f64());
                let position = replies.iter().rev().find_map(|reply| reply.position);
                if timeouts.is_callers_statement() {
                    target.record_served_statement();
                }
                target.record_response(position, now);
                record_latencies(target, replies, timeouts, elapsed, now);
            }
            Err(error) => {
                self.connection = LeasedConnection::Closed;
                target.record_closed(now);
                if error.is_failure() {
                    target.record_lost_statement(sent_at);
                    target.record_failure(now - Duration::from_millis(1), error.is_refusal());
                }
            }
        }
        drop(running);
        self.park(now);
        result
    }

    /// Records the slot time of the lease once, unless nothing ran.
    fn record_work(&mut self) {
        let work = self.work.take();
        if let Some(work) = work.filter(|work| !work.slot_time.is_zero()) {
            self.target.queue.record_work(work);
        }
    }

    /// Returns the connection to the pool, or closes it if a transaction is open on it.
    pub fn release(mut self, now: MonotonicTime) {
        if std::mem::take(&mut self.holds_reservation) {
            self.target.release_reservation();
        }
        self.record_work();
        self.unpark();
        match self.connection.take() {
            LeasedConnection::Direct(mut connection)
                if connection.state == TransactionState::Idle =>
            {
                connection.used_at = now;
                connection.last_request = Bytes::new();
                self.target.return_connection(*connection, now);
            }
            LeasedConnection::Direct(_) => self.target.record_closed(now),
            LeasedConnection::Forwarded(_) => self.target.end_forward(),
            LeasedConnection::Idle(_) | LeasedConnection::Closed => {}
        }
    }
}

impl Drop for TargetLease {
    fn drop(&mut self) {
        if std::mem::take(&mut self.holds_reservation) {
            self.target.release_reservation();
        }
        self.record_work();
        self.unpark();
        match self.connection.take() {
            LeasedConnection::Direct(_) => self.target.record_closed(BootClock.now()),
            LeasedConnection::Forwarded(_) => self.target.end_forward(),
            LeasedConnection::Idle(_) | LeasedConnection::Closed => {}
        }
    }
}

/// Updates the target's latency estimate, window and observed capacity from its responses.
fn record_latencies(
    target: &TargetHandle,
    replies: &[TargetReply],
    timeouts: ResponseTimeouts,
    elapsed: Duration,
    now: MonotonicTime,
) {
    if replies
        .iter()
        .any(|reply| reply.fault == Some(TargetFault::Busy))
    {
        target.record_busy(now);
    } else if let Some(slow_after) = timeouts.slow_after {
        target.record_latency(elapsed, slow_after, now);
        target.record_completed(now);
    }
}
