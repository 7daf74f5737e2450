use serde::{Deserialize, Serialize};

use super::{
    CustomerLimit, FaultMark, KeyWithdrawal, OperationRecord, PromotionRecord, TargetCommit,
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
    /// The faults switched.
    pub faults: Vec<FaultMark>,
}
