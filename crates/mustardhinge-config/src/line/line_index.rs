use std::collections::HashMap;

use toml::de::{DeTable, DeValue};

use super::LineTable;

/// The line of each key path of a text.
///
/// # Examples
///
/// ```
/// use mustardhinge_config::line::LineIndex;
/// use toml::de::DeTable;
///
/// let text = "service = 'haulage'\n[limits]\nmax_instances = 3\n";
/// let root = DeTable::parse(text).unwrap();
/// let index = LineIndex::new(text, root.get_ref());
/// assert_eq!(index.find("limits.max_instances"), Some(3));
/// ```
pub struct LineIndex {
    table: LineTable,
    lines: HashMap<String, usize>,
}

impl LineIndex {
    /// Walks the whole table and notes the line of each key.
    #[must_use]
    pub fn new(text: &str, table: &DeTable<'_>) -> Self {
        let mut index = Self {
            table: LineTable::new(text),
            lines: HashMap::new(),
        };
        index.add_table("", table);
        index
    }

    /// Returns the line of the path, or of the nearest path that holds it.
    #[must_use]
    pub fn find(&self, key_path: &str) -> Option<usize> {
        let mut path = key_path;
        loop {
            if let Some(line) = self.lines.get(path) {
                return Some(*line);
            }
            let end = path.rfind(['.', '['])?;
            path = &path[..end];
        }
    }

    /// Returns the steps that finding the lines took, as [`LineTable::get_steps`] counts.
    #[must_use]
    pub fn get_steps(&self) -> usize {
        self.table.get_steps()
    }

    fn add_table(&mut self, path: &str, table: &DeTable<'_>) {
        for (key, value) in table {
            let path = join_path(path, key.get_ref());
            let line = self.table.find_line(key.span().start);
            self.lines.insert(path.clone(), line);
            self.add_value(&path, value.get_ref());
        }
    }

    fn add_value(&mut self, path: &str, value: &DeValue<'_>) {
        match value {
            DeValue::Table(table) => self.add_table(path, table),
            DeValue::Array(array) => {
                for (position, item) in array.iter().enumerate() {
                    let path = format!("{path}[{position}]");
                    let line = self.table.find_line(item.span().start);
                    self.lines.insert(path.clone(), line);
                    self.add_value(&path, item.get_ref());
                }
            }
            _ => {}
        }
    }
}

/// Appends a key to a path.
pub(crate) fn join_path(path: &str, key: &str) -> String {
    if path.is_empty() {
        key.to_owned()
    } else {
        format!("{path}.{key}")
    }
}
