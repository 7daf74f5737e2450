use std::fmt;
use std::str::FromStr;

use anyhow::bail;

/// One of the deployments whose load is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DeploymentName {
    /// Haulage in three zones, 1 ms apart.
    Muscat,
    /// Swatch ordering in three zones, 0.5 ms apart.
    TaiwanNorth,
}

impl fmt::Display for DeploymentName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Muscat => "muscat",
            Self::TaiwanNorth => "taiwan-north",
        })
    }
}

impl FromStr for DeploymentName {
    type Err = anyhow::Error;

    fn from_str(text: &str) -> anyhow::Result<Self> {
        match text {
            "muscat" => Ok(Self::Muscat),
            "taiwan-north" => Ok(Self::TaiwanNorth),
            _ => bail!("{text:?} is no deployment: muscat, taiwan-north are"),
        }
    }
}
