use std::rc::Rc;
use std::time::Duration;

use tokio::time::timeout;

use super::gateway_peer::PeerAnswer;
use super::{ForwardedWork, GatewayPeer, WorkAnswer, WorkStep};
use crate::adapter::TransactionState;

/// How a forwarded statement ended, seen from where it came from.
#[derive(Debug)]
pub enum ForwardedEnd {
    /// The gateway answered, or its connection ended.
    Answered(PeerAnswer),
    /// The gateway has gone silent while nobody has to know how the statement ended.
    GatewaySilent,
    /// No answer came in time.
    TimedOut,
}

/// A place at a target through its gateway; a transaction that is open there is given up when it
/// is dropped.
#[derive(Debug)]
pub struct ForwardedLink {
    peer: Rc<GatewayPeer>,
    transaction: Option<OpenPin>,
}

#[derive(Clone, Copy, Debug)]
struct OpenPin {
    pin: u64,
    life: u64,
}

/// Withdraws a statement whose answer is waited for no more.
struct WaitGuard<'a> {
    peer: &'a Rc<GatewayPeer>,
    number: u64,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.peer.cancel(self.number);
    }
}

impl ForwardedLink {
    /// Makes a place through `peer`.
    #[must_use]
    pub const fn new(peer: Rc<GatewayPeer>) -> Self {
        Self {
            peer,
            transaction: None,
        }
    }

    /// Returns the number of the open transaction; none if it is lost or was never begun.
    #[must_use]
    pub fn pin(&self) -> Option<u64> {
        let open = self.transaction?;
        (open.life == self.peer.life()).then_some(open.pin)
    }

    /// Returns the number of the next statement.
    #[must_use]
    pub fn take_number(&self) -> u64 {
        self.peer.take_number()
    }

    /// Returns the gateway.
    #[must_use]
    pub const fn peer(&self) -> &Rc<GatewayPeer> {
        &self.peer
    }

    /// Runs a statement. A silent gateway is left after a moment if `may_leave`.
    pub async fn run(
        &mut self,
        work: ForwardedWork,
        limit: Duration,
        may_leave: bool,
    ) -> ForwardedEnd {
        let (number, step) = (work.number, work.step);
        let answered = self.peer.send(work);
        let life = self.peer.life();
        if matches!(step, WorkStep::Begin { .. }) {
            self.transaction = Some(OpenPin { pin: number, life });
        }
        let guard = WaitGuard {
            peer: &self.peer,
            number,
        };
        let silent = async {
            if may_leave {
                guard.peer.until_silent().await;
            } else {
                std::future::pending::<()>().await;
            }
        };
        let end = tokio::select! {
            biased;
            answer = timeout(limit, answered) => match answer {
                Ok(Ok(answer)) => ForwardedEnd::Answered(answer),
                Ok(Err(_)) => ForwardedEnd::Answered((WorkAnswer::Lost { is_silent: false }, None)),
                Err(_) => ForwardedEnd::TimedOut,
            },
            () = silent => ForwardedEnd::GatewaySilent,
        };
        drop(guard);
        self.note_state(&end);
        end
    }

    fn note_state(&mut self, end: &ForwardedEnd) {
        if let ForwardedEnd::Answered((answer, _)) = end {
            let is_open = match answer {
                WorkAnswer::Replied(reply) => reply.state != TransactionState::Idle,
                WorkAnswer::NotRun(_) | WorkAnswer::Lost { .. } => false,
            };
            if !is_open {
                self.transaction = None;
            }
        }
    }
}

impl Drop for ForwardedLink {
    fn drop(&mut self) {
        if let Some(open) = self.transaction.take() {
            self.peer.release(open.pin, open.life);
        }
    }
}
