use std::fmt;
use std::str::FromStr;

use anyhow::bail;

/// A fault that a run can cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultName {
    /// The primary of each group stops for good.
    PrimaryKill,
    /// The primary of each group is cut off from everything, and later comes back.
    PrimaryCut,
    /// The primary of each group accepts everything and answers nothing for a while.
    PrimaryFreeze,
    /// Open connections to targets go silent for good; new ones work.
    SilentConnections,
    /// Targets answer late.
    LateAnswers,
    /// The platform's answers are lost after the change took effect.
    LostAnswers,
    /// An entry dies.
    EntryKill,
    /// An agent dies.
    AgentKill,
    /// An instance is paused and does not know it.
    InstancePause,
    /// A zone is cut off from the others and from the platform.
    ZoneCut,
    /// The platform's store is down.
    StoreDown,
    /// The platform's store is slow.
    StoreSlow,
    /// A customer's key is withdrawn.
    KeyWithdrawal,
    /// Operators race each other for a document.
    OperatorRace,
    /// Instances are replaced one after the other.
    RollingReplace,
    /// A target of each group is marked as leaving.
    TargetLeaving,
}

impl FaultName {
    const ALL: [Self; 16] = [
        Self::PrimaryKill,
        Self::PrimaryCut,
        Self::PrimaryFreeze,
        Self::SilentConnections,
        Self::LateAnswers,
        Self::LostAnswers,
        Self::EntryKill,
        Self::AgentKill,
        Self::InstancePause,
        Self::ZoneCut,
        Self::StoreDown,
        Self::StoreSlow,
        Self::KeyWithdrawal,
        Self::OperatorRace,
        Self::RollingReplace,
        Self::TargetLeaving,
    ];

    const fn as_str(self) -> &'static str {
        match self {
            Self::PrimaryKill => "primary-kill",
            Self::PrimaryCut => "primary-cut",
            Self::PrimaryFreeze => "primary-freeze",
            Self::SilentConnections => "silent-connections",
            Self::LateAnswers => "late-answers",
            Self::LostAnswers => "lost-answers",
            Self::EntryKill => "entry-kill",
            Self::AgentKill => "agent-kill",
            Self::InstancePause => "instance-pause",
            Self::ZoneCut => "zone-cut",
            Self::StoreDown => "store-down",
            Self::StoreSlow => "store-slow",
            Self::KeyWithdrawal => "key-withdrawal",
            Self::OperatorRace => "operator-race",
            Self::RollingReplace => "rolling-replace",
            Self::TargetLeaving => "target-leaving",
        }
    }

    /// Returns whether the fault takes the primary of each group away.
    #[must_use]
    pub const fn is_primary_fault(self) -> bool {
        matches!(
            self,
            Self::PrimaryKill | Self::PrimaryCut | Self::PrimaryFreeze
        )
    }
}

impl fmt::Display for FaultName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for FaultName {
    type Err = anyhow::Error;

    fn from_str(text: &str) -> anyhow::Result<Self> {
        match Self::ALL.into_iter().find(|name| name.as_str() == text) {
            Some(name) => Ok(name),
            None => bail!("{text:?} is no fault; see --help"),
        }
    }
}
