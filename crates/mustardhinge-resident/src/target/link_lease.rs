use std::rc::Rc;
use std::time::Duration;

use mustardhinge_core::prelude::MonotonicTime;
use mustardhinge_process::BootClock;

use super::{AnswerTime, LinkError, TargetHandle, TargetLink, TargetReply};
use crate::adapter::{SessionCodec, TargetFault, TransactionState};
use crate::gateway::ForwardedLink;

/// What a session runs its statements on.
#[derive(Debug)]
enum LeasedLink {
    /// A connection of this instance.
    Own(Box<TargetLink>),
    /// A place through the target's gateway.
    Forwarded(ForwardedLink),
    /// Nothing, after an exchange that failed.
    Closed,
}

impl LeasedLink {
    fn take(&mut self) -> Self {
        std::mem::replace(self, Self::Closed)
    }
}

/// A connection lent to one session; dropped without being given back, it is closed.
#[derive(Debug)]
pub struct LinkLease {
    target: Rc<TargetHandle>,
    link: LeasedLink,
    has_turn: bool,
}

impl LinkLease {
    pub(super) fn new(target: Rc<TargetHandle>, link: TargetLink) -> Self {
        Self {
            target,
            link: LeasedLink::Own(Box::new(link)),
            has_turn: true,
        }
    }

    /// Makes a lease of a place through the target's gateway.
    #[must_use]
    pub fn forwarded(target: Rc<TargetHandle>, link: ForwardedLink) -> Self {
        target.begin_forward();
        Self {
            target,
            link: LeasedLink::Forwarded(link),
            has_turn: false,
        }
    }

    /// Returns the target.
    #[must_use]
    pub const fn target(&self) -> &Rc<TargetHandle> {
        &self.target
    }

    /// Returns the connection; none after an exchange that failed, and through a gateway.
    pub fn link_mut(&mut self) -> Option<&mut TargetLink> {
        match &mut self.link {
            LeasedLink::Own(link) => Some(link),
            LeasedLink::Forwarded(_) | LeasedLink::Closed => None,
        }
    }

    /// Returns the place through the target's gateway, if it is one.
    pub const fn forwarded_mut(&mut self) -> Option<&mut ForwardedLink> {
        match &mut self.link {
            LeasedLink::Forwarded(link) => Some(link),
            LeasedLink::Own(_) | LeasedLink::Closed => None,
        }
    }

    /// Sends what was written to the connection's output and reads `count` answers.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks or an answer takes too long; the connection is then
    /// closed.
    pub async fn exchange<W: SessionCodec>(
        &mut self,
        count: usize,
        time: AnswerTime,
        clock: &BootClock,
    ) -> Result<Vec<TargetReply>, LinkError> {
        let never = std::future::pending();
        self.exchange_until::<W>(count, time, clock, never).await
    }

    /// Does the same, but gives up when `ended` is ready: the answer counts no more.
    ///
    /// # Errors
    ///
    /// Fails like [`exchange`](Self::exchange), and if the end comes first; the connection
    /// is then closed.
    pub async fn exchange_until<W: SessionCodec>(
        &mut self,
        count: usize,
        time: AnswerTime,
        clock: &BootClock,
        ended: impl Future<Output = ()>,
    ) -> Result<Vec<TargetReply>, LinkError> {
        let LeasedLink::Own(link) = &mut self.link else {
            return Err(LinkError::Closed);
        };
        let target = &self.target;
        let sent_at = clock.now();
        target.begin_work();
        if std::mem::take(&mut self.has_turn) {
            target.end_turn();
        }
        let on_silence = || {
            // Counted from now, since this process itself may have stood still.
            target.note_failure(clock.now() - time.silence, false);
        };
        let result = tokio::select! {
            biased;
            result = link.exchange::<W>(count, time, on_silence) => result,
            () = ended => Err(LinkError::EpochEnded),
        };
        let now = clock.now();
        match &result {
            Ok(replies) => {
                link.used_at = now;
                let took = now.saturating_since(sent_at);
                metrics::histogram!("resident_target_seconds", "kind" => time.kind)
                    .record(took.as_secs_f64());
                let position = replies.iter().rev().find_map(|reply| reply.position);
                target.note_answer(position, now);
                note_times(target, replies, time, took, now);
            }
            Err(error) => {
                self.link = LeasedLink::Closed;
                target.forget_link(now);
                if error.is_failure() {
                    target.note_failure(now - Duration::from_millis(1), error.is_refusal());
                }
            }
        }
        target.end_work(now);
        result
    }

    /// Gives the connection back for others, if no transaction is open on it.
    pub fn give_back(mut self, now: MonotonicTime) {
        if std::mem::take(&mut self.has_turn) {
            self.target.end_turn();
        }
        match self.link.take() {
            LeasedLink::Own(mut link) if link.state == TransactionState::Idle => {
                link.used_at = now;
                self.target.return_link(*link, now);
            }
            LeasedLink::Own(_) => self.target.forget_link(now),
            LeasedLink::Forwarded(_) => self.target.end_forward(),
            LeasedLink::Closed => {}
        }
    }
}

impl Drop for LinkLease {
    fn drop(&mut self) {
        if std::mem::take(&mut self.has_turn) {
            self.target.end_turn();
        }
        match self.link.take() {
            LeasedLink::Own(_) => self.target.forget_link(BootClock.now()),
            LeasedLink::Forwarded(_) => self.target.end_forward(),
            LeasedLink::Closed => {}
        }
    }
}

/// Learns from the answers how busy the target is.
fn note_times(
    target: &TargetHandle,
    replies: &[TargetReply],
    time: AnswerTime,
    took: Duration,
    now: MonotonicTime,
) {
    if replies
        .iter()
        .any(|reply| reply.fault == Some(TargetFault::Busy))
    {
        target.note_full(now);
    } else if let Some(patience) = time.patience {
        target.note_service(took, patience, now);
    }
}
