use std::collections::{BTreeMap, HashMap};

use super::{RowChange, RowKey};

/// The rows of all tables.
#[derive(Clone, Debug, Default)]
pub struct RowTables {
    tables: HashMap<String, BTreeMap<String, String>>,
}

impl RowTables {
    /// Returns the value of a row.
    #[must_use]
    pub fn get(&self, row: &RowKey) -> Option<&String> {
        self.tables.get(&row.table)?.get(&row.key)
    }

    /// Returns a copy of one table.
    #[must_use]
    pub fn table(&self, name: &str) -> BTreeMap<String, String> {
        self.tables.get(name).cloned().unwrap_or_default()
    }

    /// Carries out a change.
    pub fn apply(&mut self, change: &RowChange) {
        let RowKey { table, key } = &change.row;
        let rows = self.tables.entry(table.clone()).or_default();
        match &change.value {
            Some(value) => rows.insert(key.clone(), value.clone()),
            None => rows.remove(key),
        };
    }
}
