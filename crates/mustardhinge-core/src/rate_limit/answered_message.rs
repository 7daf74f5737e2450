use super::{ShareDeposit, ShareLoan};

/// The last message of a process that a share pool has answered, with the response.
///
/// A lost response is sent again, so that it loses neither deposits nor loans.
#[derive(Clone, Debug)]
pub(super) struct AnsweredMessage {
    sequence: u64,
    attempt: u32,
    loan: ShareLoan,
}

impl AnsweredMessage {
    /// Creates the record of a message and the response to it.
    pub(super) const fn new(message: &ShareDeposit, loan: ShareLoan) -> Self {
        Self {
            sequence: message.sequence,
            attempt: message.attempt,
            loan,
        }
    }

    /// Returns whether a message follows this one, so that it has not been answered.
    pub(super) const fn precedes(&self, message: &ShareDeposit) -> bool {
        self.sequence < message.sequence
    }

    /// Returns the response if the message is a later attempt of this one. Each attempt is answered
    /// once, so a duplicate has no response.
    pub(super) fn repeat(&mut self, message: &ShareDeposit) -> Option<ShareLoan> {
        let is_repeated = self.sequence == message.sequence && self.attempt < message.attempt;
        is_repeated.then(|| {
            self.attempt = message.attempt;
            self.loan.clone()
        })
    }
}
