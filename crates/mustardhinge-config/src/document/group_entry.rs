use mustardhinge_core::prelude::*;
use serde::{Deserialize, Serialize};

use super::TargetEntry;
use crate::reader::TableReader;

/// A database group and its servers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupEntry {
    /// The name of the group.
    pub name: GroupId,
    /// The servers; an odd number, so that a majority is clear.
    #[serde(rename = "target")]
    pub targets: Vec<TargetEntry>,
}

impl GroupEntry {
    pub(crate) fn read(reader: &mut TableReader<'_>) -> Option<Self> {
        let name = reader.text("name", "give the group's name");
        let targets = reader.tables("target", TargetEntry::read);
        let count = reader.count("target");
        if count.is_multiple_of(2) {
            let advice = "give an odd number of targets, so that a majority is clear";
            reader.report("target", format!("{count} targets"), advice);
        }
        reader.check_unique("target", "name");
        reader.check_unique("target", "address");
        Some(Self {
            name: name?,
            targets,
        })
    }
}
