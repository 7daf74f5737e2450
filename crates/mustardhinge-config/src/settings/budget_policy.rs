use std::fmt;
use std::str::FromStr;

use serde_with::{DeserializeFromStr, SerializeDisplay};

/// How a customer's rate and burst are divided over the instances.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub enum BudgetPolicy {
    /// Shares move between instances with demand.
    #[default]
    Escrow,
    /// Each instance has the same fixed share.
    StaticShares,
}

/// A text names no budget policy.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no budget policy")]
pub struct BudgetPolicyError;

impl fmt::Display for BudgetPolicy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Escrow => "escrow",
            Self::StaticShares => "static-shares",
        })
    }
}

impl FromStr for BudgetPolicy {
    type Err = BudgetPolicyError;

    fn from_str(text: &str) -> Result<Self, BudgetPolicyError> {
        match text {
            "escrow" => Ok(Self::Escrow),
            "static-shares" => Ok(Self::StaticShares),
            _ => Err(BudgetPolicyError),
        }
    }
}
