use std::fmt;

/// The reason for starting a new term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FailoverCause {
    /// The primary is unresponsive, while a majority of the servers responds
    /// and receives nothing new from it.
    PrimarySilent,
    /// The primary responds, but no replica receives its log.
    ReplicationStalled,
    /// No server is primary in a term that a majority can still follow.
    NoPrimary,
    /// A server has granted a term that ended without a primary, and cannot
    /// follow the primary of a smaller term.
    ServerStranded,
    /// The primary is leaving, and a replica that stays can take over.
    PrimaryLeaving,
    /// An operator requested a different primary.
    Switchover,
}

impl FailoverCause {
    /// Returns whether the primary is available, so that writes are drained
    /// before the servers are fenced.
    #[must_use]
    pub const fn is_planned(self) -> bool {
        matches!(
            self,
            Self::ServerStranded | Self::PrimaryLeaving | Self::Switchover
        )
    }

    /// Returns the metric label value of the cause.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::PrimarySilent => "primary_silent",
            Self::ReplicationStalled => "replication_stalled",
            Self::NoPrimary => "no_primary",
            Self::ServerStranded => "server_stranded",
            Self::PrimaryLeaving => "primary_leaving",
            Self::Switchover => "switchover",
        }
    }
}

impl fmt::Display for FailoverCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.label())
    }
}
