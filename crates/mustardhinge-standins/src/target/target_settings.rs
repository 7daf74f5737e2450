use std::net::SocketAddr;
use std::time::Duration;

/// The settings of one target, as its builder leaves them.
#[derive(Clone, Debug)]
pub(crate) struct TargetSettings {
    pub(crate) name: String,
    pub(crate) listen: SocketAddr,
    pub(crate) slots: usize,
    pub(crate) connection_limit: usize,
    pub(crate) connection_delay: Duration,
    pub(crate) statement_time: Duration,
    pub(crate) is_recording_bytes: bool,
}
