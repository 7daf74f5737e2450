use std::f64::consts::TAU;
use std::fmt;

/// Availability zones; the last one has no target.
pub(super) const ZONES: usize = 4;
/// Part by which the demand of a zone rises and falls.
const SWING: f64 = 0.55;
/// Period of the demand of a zone, in milliseconds.
const PERIOD: f64 = 13_000.0;

/// Demand and targets of a comparison of placement policies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementCase {
    /// All targets are alike and equally near.
    Even,
    /// The demand of each zone rises and falls, each at another time, and one zone has no target.
    UnevenZones,
    /// One of the targets works at half of the speed of the others.
    UnevenSpeeds,
}

impl PlacementCase {
    /// All cases.
    pub const ALL: [Self; 3] = [Self::Even, Self::UnevenZones, Self::UnevenSpeeds];

    /// Returns the demand of a zone, as a multiple of its mean.
    pub(super) fn demand(self, zone: usize, now: u64) -> f64 {
        if self != Self::UnevenZones {
            return 1.0;
        }
        let phase = now as f64 / PERIOD + zone as f64 / ZONES as f64;
        1.0 + SWING * (phase * TAU).sin()
    }

    /// Returns the speed of a target.
    pub(super) fn speed(self, target: usize) -> f64 {
        if self == Self::UnevenSpeeds && target == 0 {
            0.5
        } else {
            1.0
        }
    }

    /// Returns whether a target is as near to the instances of a zone as any can be.
    pub(super) fn is_near(self, zone: usize, target: usize) -> bool {
        self != Self::UnevenZones || zone == target
    }
}

impl fmt::Display for PlacementCase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Even => "even",
            Self::UnevenZones => "uneven-zones",
            Self::UnevenSpeeds => "uneven-speeds",
        })
    }
}
