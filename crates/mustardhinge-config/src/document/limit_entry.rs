use serde::{Deserialize, Serialize};

/// Limits of a service that hold over all instances together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitEntry {
    /// Connections that one target takes.
    pub connections_per_target: u32,
    /// Statements that one target works on at once.
    pub slots_per_target: u32,
    /// The greatest number of instances that run at once, replacements included.
    pub max_instances: u32,
    /// The greatest size of a statement, in bytes.
    pub max_statement_bytes: u32,
    /// The time that a statement may wait and run, in milliseconds.
    pub statement_deadline_ms: u32,
    /// The age that proof of a key may have, in milliseconds.
    pub key_proof_ms: u32,
    /// How long the record of a request id is kept, in seconds.
    pub request_record_s: u32,
}

impl Default for LimitEntry {
    fn default() -> Self {
        Self {
            connections_per_target: 30,
            slots_per_target: 5,
            max_instances: 8,
            max_statement_bytes: 1 << 20,
            statement_deadline_ms: 5_000,
            key_proof_ms: 2_500,
            request_record_s: 3_600,
        }
    }
}
