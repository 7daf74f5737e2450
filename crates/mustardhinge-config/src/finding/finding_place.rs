use std::fmt;

use serde::{Deserialize, Serialize};

/// Where a finding stands: file, line and key path, as far as they are known.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FindingPlace {
    /// The file, if the text came from one.
    pub file: Option<String>,
    /// The line, counted from 1.
    pub line: Option<usize>,
    /// The path of the key, such as `customer[2].rate`; empty for the whole text.
    pub key_path: String,
}

impl fmt::Display for FindingPlace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut parts = Vec::new();
        parts.extend(self.file.clone());
        parts.extend(self.line.map(|line| format!("line {line}")));
        if !self.key_path.is_empty() {
            parts.push(self.key_path.clone());
        }
        f.write_str(&parts.join(", "))
    }
}
