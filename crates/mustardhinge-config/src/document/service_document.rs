use mustardhinge_core::prelude::*;
use serde::{Deserialize, Serialize};

use super::{CustomerEntry, GroupEntry, LimitEntry, RouteEntry};
use crate::finding::{Finding, FindingPlace, Findings};
use crate::reader::{ReadContext, TableReader};

/// The greatest size of a document, in bytes: half of what the platform holds
/// in a value, since the text is escaped there.
pub const MAX_DOCUMENT_BYTES: usize = 512 * 1024;

/// The document of one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceDocument {
    /// The service; callers name it as their database.
    pub service: ServiceId,
    /// The database group that serves it.
    pub group: GroupEntry,
    /// Limits that hold for the whole service.
    #[serde(default)]
    pub limits: LimitEntry,
    /// The customers, their keys, rates and bursts.
    #[serde(default, rename = "customer")]
    pub customers: Vec<CustomerEntry>,
    /// The routes that statements may name.
    #[serde(default, rename = "route")]
    pub routes: Vec<RouteEntry>,
}

impl ServiceDocument {
    /// Parses a document and checks it whole.
    ///
    /// # Errors
    ///
    /// Fails with all findings.
    ///
    /// # Examples
    ///
    /// ```
    /// use mustardhinge_config::document::ServiceDocument;
    ///
    /// let findings = ServiceDocument::parse("service = 'haulage'").unwrap_err();
    /// assert!(findings.to_string().contains("group: missing"));
    /// ```
    pub fn parse(text: &str) -> Result<Self, Findings> {
        if text.len() > MAX_DOCUMENT_BYTES {
            return Err(oversized_document(text.len()));
        }
        ReadContext::read_text(None, text, Self::read)
    }

    /// Returns whether the routes have different priorities, so that these decide which statement
    /// waits for a target.
    #[must_use]
    pub fn has_route_priorities(&self) -> bool {
        let mut priorities = self.routes.iter().map(|route| route.priority);
        let first = priorities.next();
        priorities.any(|priority| Some(priority) != first)
    }

    fn read(reader: &mut TableReader<'_>) -> Option<Self> {
        let service = reader.text("service", "give the name that callers use as database");
        let group = reader.required_table("group", GroupEntry::read);
        let limits = reader.table("limits", LimitEntry::read);
        let customers = reader.tables("customer", CustomerEntry::read);
        reader.check_unique("customer", "name");
        reader.check_unique("customer", "keys");
        let routes = reader.tables("route", RouteEntry::read);
        reader.check_unique("route", "name");
        Some(Self {
            service: service?,
            group: group?,
            limits: limits.unwrap_or_default(),
            customers,
            routes,
        })
    }
}

fn oversized_document(length: usize) -> Findings {
    Findings::new(vec![Finding {
        place: FindingPlace::default(),
        problem: format!("{length} bytes"),
        advice: format!("a document has at most {MAX_DOCUMENT_BYTES} bytes"),
    }])
}
