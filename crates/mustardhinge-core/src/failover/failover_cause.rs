use std::fmt;

/// Why a new term is begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FailoverCause {
    /// The primary is silent, while a majority of the servers answers and gets
    /// nothing new from it.
    PrimarySilent,
    /// The primary answers, but none of its replicas gets its log.
    ReplicationStalled,
    /// No server is primary in a term that a majority could still follow.
    NoPrimary,
    /// A server has granted a term that came to nothing, and can't follow the
    /// primary of a smaller one.
    ServerStranded,
    /// The primary is leaving, and another server is not.
    PrimaryLeaving,
    /// An operator asked for another primary.
    Switchover,
}

impl FailoverCause {
    /// Returns whether the primary is at work, so that writes are drained before
    /// the servers are fenced.
    #[must_use]
    pub const fn is_planned(self) -> bool {
        matches!(
            self,
            Self::ServerStranded | Self::PrimaryLeaving | Self::Switchover
        )
    }

    /// Returns the label value of the cause.
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
