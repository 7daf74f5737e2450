//! Which faults a run meets.

/// How often each fault comes; times are means in milliseconds, 0 for never.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct FaultRates {
    /// Of 1000 messages, how many are lost.
    pub(super) loss: u32,
    /// Of 1000 messages, how many come twice.
    pub(super) duplication: u32,
    /// Of 1000 messages, how many take up to two seconds.
    pub(super) delay: u32,
    /// Between two pauses of some process, each of up to four seconds.
    pub(super) pause_ms: u64,
    /// Between two deaths of some process.
    pub(super) crash_ms: u64,
    /// Between two outages of the store, each of up to eight seconds.
    pub(super) outage_ms: u64,
    /// Between two planned stops of an agent, each three seconds before its end.
    pub(super) leave_ms: u64,
    /// Between two cuts of some zone, each of up to six seconds.
    pub(super) partition_ms: u64,
    /// How much faster or slower than the true time clocks run at most, in
    /// thousandths.
    pub(super) skew: u64,
    /// Between two changes of the customers' limits.
    pub(super) change_ms: u64,
    /// Whether entries ask any agent of a zone instead of its holder.
    pub(super) misdirected_requests: bool,
}

impl FaultRates {
    /// All faults at once.
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

/// A mechanism that is put out of action at the interfaces of the product.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum InjectedFault {
    None,
    /// Holders go on although their lease has run out in a pause.
    LeaseExpiryIgnored,
    /// Agents take shares over before their leases have run out.
    EarlyTakeover,
    /// Membership decides who holds a share: each agent thinks that it does.
    HolderByMembership,
}
