/// A protocol violation that the harness injects to validate the checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum InjectedFault {
    /// No fault.
    None,
    /// A write counts as acknowledged once the primary has committed it.
    AckAtPrimary,
    /// Reports count for a write by their offset, whatever the term.
    AckByOffset,
    /// The server with the greatest offset is promoted, whatever its term.
    ChooseByOffset,
    /// A server is promoted once it is the only one that has granted the term.
    PromoteOnOneGrant,
    /// Two claimants use the same name with the servers.
    SharedClaimant,
    /// A read returns its rows without waiting until they are durable.
    ReleaseReadsAtOnce,
    /// A floor round accepts reports that were requested before it started.
    StaleFloorReports,
}
