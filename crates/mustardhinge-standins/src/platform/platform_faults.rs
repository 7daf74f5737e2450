use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The faults of the platform itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformFaults {
    /// How long each call is held up before it runs, in milliseconds.
    pub slow_ms: u32,
    /// How long each answer is held up after the effect, in milliseconds.
    pub late_ms: u32,
    /// How many of the next updates take effect and lose their answers: the
    /// caller hears nothing.
    pub lose_answers: u32,
    /// Whether each call fails with 503 and has no effect.
    pub failing: bool,
}
