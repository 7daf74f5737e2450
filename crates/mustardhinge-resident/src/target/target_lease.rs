use std::rc::Rc;
use std::time::Duration;

use mustardhinge_core::prelude::MonotonicTime;
use mustardhinge_process::BootClock;

use super::{ConnectionError, ResponseTimeouts, TargetConnection, TargetHandle, TargetReply};
use crate::gateway::ForwardedLink;
use crate::seam::{SessionWire, TargetFault, TransactionState};

/// What a session runs its statements on.
#[derive(Debug)]
enum LeasedConnection {
    /// A connection of this instance.
    Direct(Box<TargetConnection>),
    /// A place through the target's gateway.
    Forwarded(ForwardedLink),
    /// Nothing, after an exchange that failed.
    Closed,
}

impl LeasedConnection {
    fn take(&mut self) -> Self {
        std::mem::replace(self, Self::Closed)
    }
}

/// A connection lent to one session; dropped without being given back, it is closed.
#[derive(Debug)]
pub struct TargetLease {
    target: Rc<TargetHandle>,
    connection: LeasedConnection,
    holds_reservation: bool,
}

impl TargetLease {
    pub(super) fn new(target: Rc<TargetHandle>, connection: TargetConnection) -> Self {
        Self {
            target,
            connection: LeasedConnection::Direct(Box::new(connection)),
            holds_reservation: true,
        }
    }

    /// Makes a lease of a place through the target's gateway.
    #[must_use]
    pub fn forwarded(target: Rc<TargetHandle>, connection: ForwardedLink) -> Self {
        target.begin_forward();
        Self {
            target,
            connection: LeasedConnection::Forwarded(connection),
            holds_reservation: false,
        }
    }

    /// Returns the target.
    #[must_use]
    pub const fn target(&self) -> &Rc<TargetHandle> {
        &self.target
    }

    /// Returns the connection; none after an exchange that failed, and through a gateway.
    pub fn connection_mut(&mut self) -> Option<&mut TargetConnection> {
        match &mut self.connection {
            LeasedConnection::Direct(connection) => Some(connection),
            LeasedConnection::Forwarded(_) | LeasedConnection::Closed => None,
        }
    }

    /// Returns the place through the target's gateway, if it is one.
    pub const fn forwarded_mut(&mut self) -> Option<&mut ForwardedLink> {
        match &mut self.connection {
            LeasedConnection::Forwarded(connection) => Some(connection),
            LeasedConnection::Direct(_) | LeasedConnection::Closed => None,
        }
    }

    /// Sends what was written to the connection's output and reads `count` answers.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks or an answer takes too long; the connection is then
    /// closed.
    pub async fn exchange<W: SessionWire>(
        &mut self,
        count: usize,
        time: ResponseTimeouts,
        clock: &BootClock,
    ) -> Result<Vec<TargetReply>, ConnectionError> {
        let never = std::future::pending();
        self.exchange_until::<W>(count, time, clock, never).await
    }

    /// Does the same, but gives up when `ended` is ready: the answer counts no more.
    ///
    /// # Errors
    ///
    /// Fails like [`exchange`](Self::exchange), and if the end comes first; the connection
    /// is then closed.
    pub async fn exchange_until<W: SessionWire>(
        &mut self,
        count: usize,
        time: ResponseTimeouts,
        clock: &BootClock,
        ended: impl Future<Output = ()>,
    ) -> Result<Vec<TargetReply>, ConnectionError> {
        let LeasedConnection::Direct(connection) = &mut self.connection else {
            return Err(ConnectionError::Closed);
        };
        let target = &self.target;
        let sent_at = clock.now();
        target.begin_statement();
        if std::mem::take(&mut self.holds_reservation) {
            target.release_reservation();
        }
        let on_unresponsive = || {
            // Counted from now, since this process itself may have stood still.
            target.record_failure(clock.now() - time.unresponsive_after, false);
        };
        let result = tokio::select! {
            biased;
            result = connection.exchange::<W>(count, time, on_unresponsive) => result,
            () = ended => Err(ConnectionError::EpochEnded),
        };
        let now = clock.now();
        match &result {
            Ok(replies) => {
                connection.used_at = now;
                let elapsed = now.saturating_since(sent_at);
                metrics::histogram!("resident_target_seconds", "kind" => time.kind)
                    .record(elapsed.as_secs_f64());
                let position = replies.iter().rev().find_map(|reply| reply.position);
                target.record_response(position, now);
                record_latencies(target, replies, time, elapsed, now);
            }
            Err(error) => {
                self.connection = LeasedConnection::Closed;
                target.record_closed(now);
                if error.is_failure() {
                    target.record_failure(now - Duration::from_millis(1), error.is_refusal());
                }
            }
        }
        target.end_statement(now);
        result
    }

    /// Gives the connection back for others, if no transaction is open on it.
    pub fn release(mut self, now: MonotonicTime) {
        if std::mem::take(&mut self.holds_reservation) {
            self.target.release_reservation();
        }
        match self.connection.take() {
            LeasedConnection::Direct(mut connection)
                if connection.state == TransactionState::Idle =>
            {
                connection.used_at = now;
                self.target.return_connection(*connection, now);
            }
            LeasedConnection::Direct(_) => self.target.record_closed(now),
            LeasedConnection::Forwarded(_) => self.target.end_forward(),
            LeasedConnection::Closed => {}
        }
    }
}

impl Drop for TargetLease {
    fn drop(&mut self) {
        if std::mem::take(&mut self.holds_reservation) {
            self.target.release_reservation();
        }
        match self.connection.take() {
            LeasedConnection::Direct(_) => self.target.record_closed(BootClock.now()),
            LeasedConnection::Forwarded(_) => self.target.end_forward(),
            LeasedConnection::Closed => {}
        }
    }
}

/// Learns from the answers how busy the target is.
fn record_latencies(
    target: &TargetHandle,
    replies: &[TargetReply],
    time: ResponseTimeouts,
    elapsed: Duration,
    now: MonotonicTime,
) {
    if replies
        .iter()
        .any(|reply| reply.fault == Some(TargetFault::Busy))
    {
        target.record_busy(now);
    } else if let Some(slow_after) = time.slow_after {
        target.record_latency(elapsed, slow_after, now);
    }
}
