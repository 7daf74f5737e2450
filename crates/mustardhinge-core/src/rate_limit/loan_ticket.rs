/// The place of an operation's request in the messages to the share pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoanTicket(pub(super) u64);
