use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Kind of the request to explain.
///
/// # Examples
///
/// ```
/// use mustardhinge_core::explain::RequestKind;
///
/// assert_eq!("write".parse(), Ok(RequestKind::Write));
/// assert!("delete".parse::<RequestKind>().is_err());
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestKind {
    /// A read outside a transaction.
    #[default]
    Read,
    /// A write outside a transaction.
    Write,
    /// The first statement of a transaction that may write.
    Begin,
}

impl fmt::Display for RequestKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Read => "read",
            Self::Write => "write",
            Self::Begin => "begin",
        })
    }
}

impl FromStr for RequestKind {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "read" => Ok(Self::Read),
            "write" => Ok(Self::Write),
            "begin" => Ok(Self::Begin),
            _ => Err("expected read, write or begin".to_owned()),
        }
    }
}
