use std::fmt;

/// Why a request was refused without having run.
///
/// The `Display` form is the value of the `reason` label of the refusal
/// counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[non_exhaustive]
pub enum RefusalReason {
    /// The customer's rate and burst are used up over all instances.
    RateExceeded,
    /// The key is unknown, or has been withdrawn.
    KeyRejected,
    /// The instance has no fresh proof that the key still stands.
    KeyUnproven,
    /// No target holds the session's own writes in time.
    FloorNotReached,
    /// The group has no writable primary.
    NoPrimary,
    /// No target of the group answers.
    NoTarget,
    /// The queue in front of the target is too long for the deadline.
    QueueFull,
    /// The deadline passed before the request left the queue.
    DeadlinePassed,
    /// The instance is leaving.
    InstanceDraining,
    /// The service is unknown or its document is not yet known here.
    ServiceUnknown,
    /// The statement is not supported by the proxy.
    Unsupported,
    /// The statement holds the session's key.
    KeyInStatement,
    /// The statement is larger than the limit.
    StatementTooLarge,
}

impl RefusalReason {
    /// Returns the label value of the reason.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::RateExceeded => "rate_exceeded",
            Self::KeyRejected => "key_rejected",
            Self::KeyUnproven => "key_unproven",
            Self::FloorNotReached => "floor_not_reached",
            Self::NoPrimary => "no_primary",
            Self::NoTarget => "no_target",
            Self::QueueFull => "queue_full",
            Self::DeadlinePassed => "deadline_passed",
            Self::InstanceDraining => "instance_draining",
            Self::ServiceUnknown => "service_unknown",
            Self::Unsupported => "unsupported",
            Self::KeyInStatement => "key_in_statement",
            Self::StatementTooLarge => "statement_too_large",
        }
    }

    /// Returns the SQLSTATE code of the refusal.
    #[must_use]
    pub const fn sqlstate(self) -> &'static str {
        match self {
            Self::RateExceeded | Self::QueueFull => "53400",
            Self::KeyRejected => "28P01",
            Self::KeyUnproven => "28000",
            Self::FloorNotReached | Self::DeadlinePassed => "57014",
            Self::NoPrimary | Self::NoTarget => "57P03",
            Self::InstanceDraining => "57P01",
            Self::ServiceUnknown => "3D000",
            Self::Unsupported => "0A000",
            Self::KeyInStatement => "42501",
            Self::StatementTooLarge => "54000",
        }
    }
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.label())
    }
}
