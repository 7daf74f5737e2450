use schemars::JsonSchema;
use serde::Serialize;

/// The kinds of calls that the platform counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum CallKind {
    /// A read of one object.
    Get,
    /// A conditional update.
    Put,
    /// A read of all objects of a kind.
    List,
    /// A watch of a kind, waiting or not.
    Watch,
    /// A read of the list of instances, waiting or not.
    Instances,
}
