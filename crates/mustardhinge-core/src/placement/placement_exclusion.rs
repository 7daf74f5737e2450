use std::fmt;

use serde::{Deserialize, Serialize};

/// Why a target isn't among those that a read may be sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlacementExclusion {
    /// The target was tried before.
    Tried,
    /// Its zone is evacuated.
    Evacuated,
    /// Its region is not a home of the request.
    OutsideHome,
    /// It is known to lag by more than the read allows.
    TooStale,
    /// It is leaving, and other targets are not.
    Leaving,
    /// It is in another availability zone, and a replica of the same zone has capacity.
    OtherZone,
    /// Another target costs less.
    HigherCost,
    /// It isn't the primary, which the request requires.
    NotPrimary,
}

impl fmt::Display for PlacementExclusion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Tried => "tried",
            Self::Evacuated => "evacuated",
            Self::OutsideHome => "outside_home",
            Self::TooStale => "too_stale",
            Self::Leaving => "leaving",
            Self::OtherZone => "other_zone",
            Self::HigherCost => "higher_cost",
            Self::NotPrimary => "not_primary",
        })
    }
}
