use std::rc::Rc;
use std::time::Duration;

use mustardhinge_core::placement::HomeRegions;
use tokio::time::timeout;

use super::gateway_peer::GatewayResponse;
use super::{ForwardedOutcome, ForwardedStatement, ForwardedStep, GatewayPeer};
use crate::adapter::TransactionState;

/// Result of forwarding a statement, as seen by the origin.
#[derive(Debug)]
pub enum ForwardResult {
    /// The gateway responded, or its connection ended.
    Responded(GatewayResponse),
    /// The gateway became unresponsive, and the outcome of the statement doesn't have to be known.
    Unresponsive,
    /// The response timed out.
    TimedOut,
}

/// A virtual connection to a target through its gateway. Dropping it abandons its open transaction.
#[derive(Debug)]
pub struct ForwardedConnection {
    peer: Rc<GatewayPeer>,
    transaction: Option<PinnedTransaction>,
}

#[derive(Clone, Copy, Debug)]
struct PinnedTransaction {
    pin: u64,
    connection_number: u64,
}

/// Cancels a statement when its caller stops waiting for the response.
struct CancelGuard<'a> {
    peer: &'a Rc<GatewayPeer>,
    number: u64,
}

impl Drop for CancelGuard<'_> {
    fn drop(&mut self) {
        self.peer.cancel(self.number);
    }
}

impl ForwardedConnection {
    /// Creates a virtual connection through `peer`.
    #[must_use]
    pub const fn new(peer: Rc<GatewayPeer>) -> Self {
        Self {
            peer,
            transaction: None,
        }
    }

    /// Returns the number of the open transaction, or `None` if it was lost or never begun.
    #[must_use]
    pub fn pin(&self) -> Option<u64> {
        let open = self.transaction?;
        (open.connection_number == self.peer.connection_number()).then_some(open.pin)
    }

    /// Allocates the number of the next statement.
    #[must_use]
    pub fn next_number(&self) -> u64 {
        self.peer.next_number()
    }

    /// Returns the gateway.
    #[must_use]
    pub const fn peer(&self) -> &Rc<GatewayPeer> {
        &self.peer
    }

    /// Runs a statement, which may be restricted to home regions. With `may_abandon`, stops waiting
    /// once the gateway is unresponsive.
    pub async fn run(
        &mut self,
        statement: ForwardedStatement,
        homes: Option<&HomeRegions>,
        limit: Duration,
        may_abandon: bool,
    ) -> ForwardResult {
        let (number, step) = (statement.number, statement.step);
        let response = self.peer.send(statement, homes);
        let connection_number = self.peer.connection_number();
        if matches!(step, ForwardedStep::Begin { .. }) {
            self.transaction = Some(PinnedTransaction {
                pin: number,
                connection_number,
            });
        }
        let guard = CancelGuard {
            peer: &self.peer,
            number,
        };
        let unresponsive = async {
            if may_abandon {
                guard.peer.wait_until_unresponsive().await;
            } else {
                std::future::pending::<()>().await;
            }
        };
        let result = tokio::select! {
            biased;
            response = timeout(limit, response) => match response {
                Ok(Ok(response)) => ForwardResult::Responded(response),
                Ok(Err(_)) => ForwardResult::Responded((
                    ForwardedOutcome::Lost { is_silent: false },
                    None,
                )),
                Err(_) => ForwardResult::TimedOut,
            },
            () = unresponsive => ForwardResult::Unresponsive,
        };
        drop(guard);
        self.update_transaction(&result);
        result
    }

    fn update_transaction(&mut self, result: &ForwardResult) {
        if let ForwardResult::Responded((outcome, _)) = result {
            let is_open = match outcome {
                ForwardedOutcome::Replied(reply) => reply.state != TransactionState::Idle,
                ForwardedOutcome::NotRun(_) | ForwardedOutcome::Lost { .. } => false,
            };
            if !is_open {
                self.transaction = None;
            }
        }
    }
}

impl Drop for ForwardedConnection {
    fn drop(&mut self) {
        if let Some(open) = self.transaction.take() {
            self.peer.release(open.pin, open.connection_number);
        }
    }
}
