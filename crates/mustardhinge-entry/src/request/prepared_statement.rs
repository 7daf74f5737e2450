use std::fmt::Write;

use pgwire::messages::extendedquery::Parse;
use sha2::{Digest, Sha256};

use crate::statement::StatementScan;
use crate::wire::{FrameError, WireFrame};

/// Number of digest bytes in the name of a statement on targets.
const NAME_DIGEST_BYTES: usize = 16;

/// Statement prepared by a caller.
///
/// On targets its name is derived from its text and parameter types, so callers
/// that prepare the same statement share it on a pooled connection. An unnamed
/// statement stays unnamed.
#[derive(Clone, Debug)]
pub struct PreparedStatement {
    target_name: Option<String>,
    frame: WireFrame,
    scan: StatementScan,
}

impl PreparedStatement {
    /// Creates a statement from the caller's Parse.
    ///
    /// # Errors
    ///
    /// Returns an error if the renamed message can't be encoded.
    pub fn new(parse: &Parse) -> Result<Self, FrameError> {
        let target_name = parse.name.as_ref().map(|_| shared_name(parse));
        let renamed = Parse::new(
            target_name.clone(),
            parse.query.clone(),
            parse.type_oids.clone(),
        );
        Ok(Self {
            target_name,
            frame: WireFrame::encode(&renamed)?,
            scan: StatementScan::new(&parse.query),
        })
    }

    /// Returns the name on targets, or `None` for an unnamed statement.
    #[must_use]
    pub fn target_name(&self) -> Option<&String> {
        self.target_name.as_ref()
    }

    /// Returns the Parse frame that is sent to targets.
    #[must_use]
    pub fn frame(&self) -> &WireFrame {
        &self.frame
    }

    /// Returns the scan of the statement's text.
    #[must_use]
    pub fn scan(&self) -> &StatementScan {
        &self.scan
    }
}

fn shared_name(parse: &Parse) -> String {
    let mut hasher = Sha256::new();
    for oid in &parse.type_oids {
        hasher.update(oid.to_be_bytes());
    }
    hasher.update([0]);
    hasher.update(parse.query.as_bytes());
    let digest = hasher.finalize();
    let mut name = "mh_".to_owned();
    for byte in &digest[..NAME_DIGEST_BYTES] {
        let _ = write!(name, "{byte:02x}");
    }
    name
}
