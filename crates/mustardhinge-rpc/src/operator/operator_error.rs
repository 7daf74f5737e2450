use std::fmt;

use mustardhinge_config::finding::{Finding, Findings};
use mustardhinge_core::prelude::*;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::{DocumentChange, ErrorKind};

/// The body of every error response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct OperatorError {
    /// The kind of the error.
    pub kind: ErrorKind,
    /// A human-readable description of the error.
    pub message: String,
    /// The delay before a retry, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u32>,
    /// The version in force, for a conflict.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(with = "Option<u64>")]
    pub version: Option<DocumentVersion>,
    /// The keys that differ, for a conflict.
    #[serde(default)]
    pub changes: Vec<DocumentChange>,
    /// The findings of the document check.
    #[serde(default)]
    #[schemars(with = "Vec<serde_json::Value>")]
    pub findings: Vec<Finding>,
}

impl OperatorError {
    /// Creates an error with a kind and a message.
    #[must_use]
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        Self {
            kind,
            message: message.into(),
            retry_after_ms: None,
            version: None,
            changes: Vec::new(),
            findings: Vec::new(),
        }
    }

    /// Sets the delay before a retry, in milliseconds.
    #[must_use]
    pub fn retry_after_ms(mut self, millis: u32) -> Self {
        self.retry_after_ms = Some(millis);
        self
    }

    /// Creates a conflict error with the version in force and the keys that differ.
    #[must_use]
    pub fn conflict(version: DocumentVersion, changes: Vec<DocumentChange>) -> Self {
        let message = format!("version {version} is in force");
        Self {
            version: Some(version),
            changes,
            ..Self::new(ErrorKind::Conflict, message)
        }
    }

    /// Creates an error with the findings of a document check.
    #[must_use]
    pub fn findings(findings: &Findings) -> Self {
        let message = format!("the document has {} findings", findings.len());
        Self {
            findings: findings.iter().cloned().collect(),
            ..Self::new(ErrorKind::Findings, message)
        }
    }
}

impl fmt::Display for OperatorError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for OperatorError {}
