use serde::{Deserialize, Serialize};

use crate::reader::TableReader;

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
    /// How long a read waits for a replica that is nearly current before it goes
    /// to the primary, in milliseconds.
    pub replica_wait_ms: u32,
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
            replica_wait_ms: 5,
        }
    }
}

impl LimitEntry {
    pub(crate) fn read(reader: &mut TableReader<'_>) -> Option<Self> {
        let base = Self::default();
        let mut number = |key, range, default| reader.number(key, range, default);
        let limits = Self {
            connections_per_target: number(
                "connections_per_target",
                1..=100_000,
                base.connections_per_target,
            ),
            slots_per_target: number("slots_per_target", 1..=10_000, base.slots_per_target),
            max_instances: number("max_instances", 1..=10_000, base.max_instances),
            max_statement_bytes: number(
                "max_statement_bytes",
                1_024..=1 << 30,
                base.max_statement_bytes,
            ),
            statement_deadline_ms: number(
                "statement_deadline_ms",
                10..=600_000,
                base.statement_deadline_ms,
            ),
            key_proof_ms: number("key_proof_ms", 200..=3_000, base.key_proof_ms),
            request_record_s: number("request_record_s", 10..=604_800, base.request_record_s),
            replica_wait_ms: number("replica_wait_ms", 0..=1_000, base.replica_wait_ms),
        };
        limits.check(reader);
        Some(limits)
    }

    fn check(&self, reader: &TableReader<'_>) {
        let (slots, connections) = (self.slots_per_target, self.connections_per_target);
        if slots > connections {
            let problem = format!("{slots} slots, but {connections} connections");
            reader.report("slots_per_target", problem, "give at most one a connection");
        }
    }
}
