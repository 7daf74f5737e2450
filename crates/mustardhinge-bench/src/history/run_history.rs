use serde::{Deserialize, Serialize};

use super::{
    AcceptedUpdate, CustomerLimit, FaultMark, KeyWithdrawal, LeavingWork, OperationRecord,
    PlannedStop, PromotionRecord, TargetCommit, VersionSighting,
};

/// Everything recorded during one run that the checks and plots need.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunHistory {
    /// The operations of all callers.
    pub operations: Vec<OperationRecord>,
    /// The commits at all targets.
    pub commits: Vec<TargetCommit>,
    /// The promotions in all groups.
    pub promotions: Vec<PromotionRecord>,
    /// The customers' limits.
    pub limits: Vec<CustomerLimit>,
    /// The keys withdrawn.
    pub withdrawals: Vec<KeyWithdrawal>,
    /// The planned stops of instances.
    pub stops: Vec<PlannedStop>,
    /// The work that leaving targets got after the bound.
    pub leaving: Vec<LeavingWork>,
    /// The updates of documents that operators were told are accepted.
    pub updates: Vec<AcceptedUpdate>,
    /// The versions of documents seen in force on instances.
    pub sightings: Vec<VersionSighting>,
    /// The faults switched.
    pub faults: Vec<FaultMark>,
}
