/// A fault of the product that the harness puts in place of a rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum InjectedFault {
    /// No fault: the product as it is.
    None,
    /// A write counts as acknowledged once the primary has committed it.
    AckAtPrimary,
    /// Reports count for a write by their offset, whatever the term.
    AckByOffset,
    /// The server with the greatest offset is promoted, whatever its term.
    ChooseByOffset,
    /// A server is promoted once it alone has granted the term.
    PromoteOnOneGrant,
    /// Two claimants give the servers the same name.
    SharedClaimant,
    /// A read's answer goes out whether or not its rows last.
    ReleaseReadsAtOnce,
    /// A floor round takes in reports that were asked for before it began.
    StaleFloorReports,
}
