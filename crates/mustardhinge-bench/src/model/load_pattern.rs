use std::fmt;

/// When a pattern begins, in milliseconds.
const BEGIN: u64 = 2_000;
/// When it ends; the load of the rest is usual.
const END: u64 = 7_000;
/// How long nobody sends while all instances start anew.
const OUTAGE: u64 = 1_000;
/// In which time all callers are back after it.
const RETURN: u64 = 100;
/// The factor of one customer's flood.
const FLOOD: f64 = 8.0;
/// The speed of a server or an instance's zone that has become slow.
const SLOW: f64 = 0.1;

/// A load that binds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadPattern {
    /// Half of what the servers can do.
    Usual,
    /// Three times that.
    Burst,
    /// One customer sends eight times its usual load.
    Flood,
    /// All callers come back at once after a second in which all instances were gone.
    HerdReturn,
    /// One server works at a tenth of its speed.
    SlowServer,
    /// All replicas are behind: only the primary can run what comes.
    ReplicasBehind,
    /// All callers of the other instances come to two of them.
    MovedCallers,
}

impl LoadPattern {
    /// All patterns.
    pub const ALL: [Self; 7] = [
        Self::Usual,
        Self::Burst,
        Self::Flood,
        Self::HerdReturn,
        Self::SlowServer,
        Self::ReplicasBehind,
        Self::MovedCallers,
    ];

    /// Returns a customer's load at a time, as a multiple of the usual one.
    #[must_use]
    pub fn load(self, customer: usize, now: u64) -> f64 {
        if !is_on(now) {
            return 1.0;
        }
        match self {
            Self::Burst => 3.0,
            Self::Flood if self.is_flood(customer) => FLOOD,
            Self::HerdReturn if now < BEGIN + OUTAGE => 0.0,
            // Each comes back, and what each had to do meanwhile is left out.
            Self::HerdReturn if now < BEGIN + OUTAGE + RETURN => 10.0,
            _ => 1.0,
        }
    }

    /// Returns whether a customer sends many times its usual load.
    #[must_use]
    pub fn is_flood(self, customer: usize) -> bool {
        self == Self::Flood && customer == 0
    }

    /// Returns the instance that gets what would come to `instance`.
    #[must_use]
    pub fn instance_for(self, instance: usize, now: u64) -> usize {
        if self == Self::MovedCallers && is_on(now) {
            instance % 2
        } else {
            instance
        }
    }

    /// Returns the speed of a server, one as a rule.
    #[must_use]
    pub fn speed(self, server: usize, now: u64) -> f64 {
        let is_slow = self == Self::SlowServer && server == 1 && is_on(now);
        if is_slow { SLOW } else { 1.0 }
    }

    /// Returns whether a server can't run what comes, being behind; server 0 is the primary.
    #[must_use]
    pub fn is_behind(self, server: usize, now: u64) -> bool {
        self == Self::ReplicasBehind && server > 0 && is_on(now)
    }
}

fn is_on(now: u64) -> bool {
    (BEGIN..END).contains(&now)
}

impl fmt::Display for LoadPattern {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Usual => "usual",
            Self::Burst => "burst",
            Self::Flood => "flood",
            Self::HerdReturn => "herd-return",
            Self::SlowServer => "slow-server",
            Self::ReplicasBehind => "replicas-behind",
            Self::MovedCallers => "moved-callers",
        })
    }
}
