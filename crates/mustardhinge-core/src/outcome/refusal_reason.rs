use std::fmt;

/// Why a request was refused without having run.
///
/// The `Display` form is the value of the `reason` label of the refusal counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[non_exhaustive]
pub enum RefusalReason {
    /// The customer's rate and burst are exhausted across all instances.
    RateExceeded,
    /// The key is unknown or withdrawn.
    KeyRejected,
    /// The instance has no recent proof that the key is still valid.
    KeyUnproven,
    /// No target reached the position of the session's own writes in time.
    FloorNotReached,
    /// The group has no writable primary.
    NoPrimary,
    /// No target of the group responds.
    NoTarget,
    /// No target that could run the request is in one of its home regions.
    OutsideHome,
    /// The request would wait in the target's queue beyond its deadline.
    QueueFull,
    /// The deadline passed before the request left the queue.
    DeadlinePassed,
    /// The instance is draining.
    InstanceDraining,
    /// The service is unknown, or this instance has not received its document yet.
    ServiceUnknown,
    /// The proxy does not support the statement.
    Unsupported,
    /// The statement text contains the session's key.
    KeyInStatement,
    /// The statement exceeds the size limit.
    StatementTooLarge,
}

impl RefusalReason {
    /// Returns the value of the `reason` metric label.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::RateExceeded => "rate_exceeded",
            Self::KeyRejected => "key_rejected",
            Self::KeyUnproven => "key_unproven",
            Self::FloorNotReached => "floor_not_reached",
            Self::NoPrimary => "no_primary",
            Self::NoTarget => "no_target",
            Self::OutsideHome => "outside_home",
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
            Self::NoPrimary | Self::NoTarget | Self::OutsideHome => "57P03",
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
