use std::fmt;

/// The blanks between two columns.
const COLUMN_GAP: usize = 2;

/// A table with aligned columns, for people.
///
/// # Examples
///
/// ```
/// use mustardhinge_ctl::report::TextTable;
///
/// let mut table = TextTable::new(["service", "version"]);
/// table.add(["haulage-1", "12"]);
/// assert_eq!(table.to_string(), "service    version\nhaulage-1  12\n");
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TextTable<const COLUMNS: usize> {
    rows: Vec<[String; COLUMNS]>,
}

impl<const COLUMNS: usize> TextTable<COLUMNS> {
    /// Makes a table without rows.
    #[must_use]
    pub fn new(titles: [&str; COLUMNS]) -> Self {
        Self {
            rows: vec![titles.map(str::to_owned)],
        }
    }

    /// Adds a row.
    pub fn add(&mut self, row: [impl Into<String>; COLUMNS]) {
        self.rows.push(row.map(Into::into));
    }

    /// Tells whether there are no rows.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.len() == 1
    }

    fn width(&self, column: usize) -> usize {
        let widths = self.rows.iter().map(|row| row[column].chars().count());
        widths.max().unwrap_or(0)
    }
}

impl<const COLUMNS: usize> fmt::Display for TextTable<COLUMNS> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for row in &self.rows {
            let mut line = String::new();
            for (column, value) in row.iter().enumerate() {
                let width = self.width(column) + COLUMN_GAP;
                line.push_str(&format!("{value:<width$}"));
            }
            writeln!(f, "{}", line.trim_end())?;
        }
        Ok(())
    }
}
