use std::collections::HashMap;

use toml::de::{DeTable, DeValue};

/// The line of each key path of a text.
pub(crate) struct LineIndex {
    lines: HashMap<String, usize>,
}

impl LineIndex {
    /// Walks the whole table and notes the line of each key.
    pub(crate) fn new(text: &str, table: &DeTable<'_>) -> Self {
        let mut index = Self {
            lines: HashMap::new(),
        };
        index.add_table(text, "", table);
        index
    }

    /// Returns the line of the path, or of the nearest path that holds it.
    pub(crate) fn find(&self, key_path: &str) -> Option<usize> {
        let mut path = key_path;
        loop {
            if let Some(line) = self.lines.get(path) {
                return Some(*line);
            }
            let end = path.rfind(['.', '['])?;
            path = &path[..end];
        }
    }

    fn add_table(&mut self, text: &str, path: &str, table: &DeTable<'_>) {
        for (key, value) in table {
            let path = join_path(path, key.get_ref());
            let line = line_at(text, key.span().start);
            self.lines.insert(path.clone(), line);
            self.add_value(text, &path, value.get_ref());
        }
    }

    fn add_value(&mut self, text: &str, path: &str, value: &DeValue<'_>) {
        match value {
            DeValue::Table(table) => self.add_table(text, path, table),
            DeValue::Array(array) => {
                for (position, item) in array.iter().enumerate() {
                    let path = format!("{path}[{position}]");
                    let line = line_at(text, item.span().start);
                    self.lines.insert(path.clone(), line);
                    self.add_value(text, &path, item.get_ref());
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

/// Returns the line of a byte offset, counted from 1.
pub(crate) fn line_at(text: &str, offset: usize) -> usize {
    let end = offset.min(text.len());
    text.as_bytes()[..end]
        .iter()
        .filter(|byte| **byte == b'\n')
        .count()
        + 1
}
