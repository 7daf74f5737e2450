use std::fmt;

use serde::{Deserialize, Serialize};

/// A rule that must always hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RuleName {
    /// A session reads its own confirmed writes, on any instance.
    ReadYourWrites,
    /// Reads without a token and writes of a row have one order in time.
    Linearizability,
    /// No write is acknowledged by a primary that has been replaced.
    ReplacedPrimary,
    /// Statements of different transactions never mix.
    TransactionIsolation,
    /// No target sees a customer's key.
    KeySecrecy,
    /// A withdrawn key stops within seconds.
    KeyWithdrawal,
    /// No customer gets more than its rate and burst.
    CustomerRate,
    /// Each caller gets the whole answer to its own request.
    OwnAnswer,
    /// A request refused as not run did not run.
    NotRunTruth,
    /// A request runs at most once; a confirmed one exactly once.
    ExactlyOnce,
    /// A leaving target gets no new work after a bound.
    LeavingTarget,
    /// A planned stop cuts no request.
    PlannedStop,
    /// Accepted configuration comes into force everywhere and never reverts.
    ConfigurationOrder,
}

impl fmt::Display for RuleName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            Self::ReadYourWrites => "read_your_writes",
            Self::Linearizability => "linearizability",
            Self::ReplacedPrimary => "replaced_primary",
            Self::TransactionIsolation => "transaction_isolation",
            Self::KeySecrecy => "key_secrecy",
            Self::KeyWithdrawal => "key_withdrawal",
            Self::CustomerRate => "customer_rate",
            Self::OwnAnswer => "own_answer",
            Self::NotRunTruth => "not_run_truth",
            Self::ExactlyOnce => "exactly_once",
            Self::LeavingTarget => "leaving_target",
            Self::PlannedStop => "planned_stop",
            Self::ConfigurationOrder => "configuration_order",
        };
        f.write_str(text)
    }
}
