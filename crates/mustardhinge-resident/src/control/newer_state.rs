use std::fmt;
use std::net::SocketAddr;

use mustardhinge_core::prelude::MonotonicTime;

/// An instance that has newer state, which is yet to be fetched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NewerState {
    /// The address from which the state is fetched first.
    pub address: SocketAddr,
    /// What announced it.
    pub notice: StateNotice,
    /// When it is fetched, unless the store delivers it before.
    pub due_at: MonotonicTime,
}

/// The message that announced newer state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StateNotice {
    /// A grant of the leader.
    Grant,
    /// A request to this leader.
    Request,
    /// A message that names the leader.
    LeaderHint,
    /// A report of an instance that watches the store.
    CopyReport,
}

impl fmt::Display for StateNotice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Grant => "grant",
            Self::Request => "request",
            Self::LeaderHint => "leader_hint",
            Self::CopyReport => "copy_report",
        })
    }
}
