use anyhow::bail;
use serde::{Deserialize, Serialize};

/// The name of the format.
const FORMAT_NAME: &str = "mustardhinge-trace";

/// The version of the format that is read and written.
const FORMAT_VERSION: u32 = 1;

/// The first line of a trace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TraceHeader {
    /// The name of the format.
    pub format: String,
    /// The version of the format.
    pub version: u32,
    /// The decision that the inputs are for.
    pub decision: String,
    /// What the decision is set up with.
    pub setup: serde_json::Value,
}

impl TraceHeader {
    /// Makes the header of a new trace.
    #[must_use]
    pub fn new(decision: &str, setup: serde_json::Value) -> Self {
        Self {
            format: FORMAT_NAME.to_owned(),
            version: FORMAT_VERSION,
            decision: decision.to_owned(),
            setup,
        }
    }

    /// Checks that the trace can be replayed by this version.
    ///
    /// # Errors
    ///
    /// Fails if the format or its version is another one.
    pub fn check(&self) -> anyhow::Result<()> {
        if self.format != FORMAT_NAME {
            bail!("the format is {:?}, not {FORMAT_NAME:?}", self.format);
        }
        if self.version != FORMAT_VERSION {
            bail!(
                "version {} can't be read, {FORMAT_VERSION} can",
                self.version
            );
        }
        Ok(())
    }
}
