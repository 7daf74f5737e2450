//! The faults of a run.

/// The frequency of each fault. Times are in milliseconds; 0 disables the fault.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct FaultRates {
    /// Lost messages per thousand.
    pub(super) loss: u32,
    /// Messages per thousand that are delivered twice.
    pub(super) duplication: u32,
    /// Messages per thousand that are delayed by up to two seconds.
    pub(super) delay: u32,
    /// Mean interval between pauses of a process, each of up to four seconds.
    pub(super) pause_ms: u64,
    /// Mean interval between crashes of a process.
    pub(super) crash_ms: u64,
    /// Mean interval between outages of the store, each of up to eight seconds.
    pub(super) outage_ms: u64,
    /// Mean interval between planned stops of an agent, each announced three seconds
    /// ahead.
    pub(super) leave_ms: u64,
    /// Mean interval between partitions of a zone, each of up to six seconds.
    pub(super) partition_ms: u64,
    /// The greatest deviation of a clock's speed from the true speed, in thousandths.
    pub(super) skew: u64,
    /// Mean interval between changes of the customers' limits.
    pub(super) change_ms: u64,
    /// Whether entries sometimes send a request to any agent of a zone instead of its
    /// holder.
    pub(super) misdirected_requests: bool,
}

impl FaultRates {
    /// Returns rates with all faults enabled.
    pub(super) fn all() -> Self {
        Self {
            loss: 30,
            duplication: 50,
            delay: 50,
            pause_ms: 1_500,
            crash_ms: 2_500,
            outage_ms: 9_000,
            leave_ms: 8_000,
            partition_ms: 9_000,
            skew: 25,
            change_ms: 7_000,
            misdirected_requests: true,
        }
    }
}

/// A mechanism that the simulation disables at the public interfaces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum InjectedFault {
    None,
    /// Holders continue although their lease expired during a pause.
    LeaseExpiryIgnored,
    /// Agents take shares over before their leases have expired.
    EarlyTakeover,
    /// Membership determines the holder of a share: each agent considers itself the
    /// holder.
    HolderByMembership,
}
