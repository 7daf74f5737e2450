use mustardhinge_core::prelude::*;
use pgwire::messages::simplequery::Query;
use sha2::{Digest, Sha256};

use super::{BatchPlan, CallerRequest, PlannedFrame};
use crate::wire::WireFrame;

/// Table of request records in each group's database.
const RECORD_TABLE: &str = "mustardhinge_requests";

/// Number of digest bytes stored in a record.
const DIGEST_BYTES: usize = 8;

/// Record of a request id in the group's database.
///
/// The key is `customer/request`, the value `digest|command tag`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestRecord {
    key: String,
    digest: String,
}

impl RequestRecord {
    /// Creates the record of a customer's request.
    #[must_use]
    pub fn new(customer: &CustomerId, id: &RequestId, request: &CallerRequest) -> Self {
        Self {
            key: format!("{customer}/{id}"),
            digest: statement_digest(request),
        }
    }

    /// Returns the statement that inserts the record with the command tag of the
    /// response.
    #[must_use]
    pub fn insert_statement(&self, tag: &str) -> String {
        let (key, digest) = (&self.key, &self.digest);
        let tag = tag.replace(['\'', '|'], "");
        format!("INSERT INTO {RECORD_TABLE} (k, v) VALUES ('{key}', '{digest}|{tag}')")
    }

    /// Returns the statement that looks the record up.
    #[must_use]
    pub fn lookup_statement(&self) -> String {
        format!("SELECT v FROM {RECORD_TABLE} WHERE k = '{}'", self.key)
    }

    /// Returns whether a row of the table records the same statements.
    #[must_use]
    pub fn is_same_statement(&self, row: &[String]) -> bool {
        let value = row.first().map_or("", String::as_str);
        value.split('|').next() == Some(self.digest.as_str())
    }

    /// Returns the command tag recorded in a row of the table.
    #[must_use]
    pub fn tag_in(&self, row: &[String]) -> Option<String> {
        let (_, tag) = row.first()?.split_once('|')?;
        Some(tag.to_owned())
    }
}

/// Returns the digest of the texts and parameters of a request's statements.
fn statement_digest(request: &CallerRequest) -> String {
    let mut hasher = Sha256::new();
    if let Some(Ok(query)) = request.query.as_ref().map(WireFrame::decode::<Query>) {
        hasher.update(query.query.as_bytes());
    }
    for frame in request.batch.iter().flat_map(BatchPlan::frames) {
        match frame {
            PlannedFrame::Prepare { statement, .. } => hasher.update(statement.frame().body()),
            PlannedFrame::Send(frame, _) => hasher.update(frame.as_bytes()),
            PlannedFrame::Reply(_) => {}
        }
    }
    let digest = hasher.finalize();
    let bytes = digest[..DIGEST_BYTES].iter();
    bytes.map(|byte| format!("{byte:02x}")).collect()
}
