use std::cell::Cell;

/// Where each line of a text starts; counts the steps that its look-ups take.
///
/// # Examples
///
/// ```
/// use mustardhinge_config::line::LineTable;
///
/// let table = LineTable::new("a = 1\nb = 2\n");
/// assert_eq!(table.find_line(6), 2);
/// ```
#[derive(Clone, Debug)]
pub struct LineTable {
    starts: Vec<usize>,
    length: usize,
    steps: Cell<usize>,
}

impl LineTable {
    /// Reads the text once and notes where its lines start.
    #[must_use]
    pub fn new(text: &str) -> Self {
        let breaks = text.bytes().enumerate().filter(|(_, byte)| *byte == b'\n');
        let later_starts = breaks.map(|(offset, _)| offset + 1);
        Self {
            starts: std::iter::once(0).chain(later_starts).collect(),
            length: text.len(),
            steps: Cell::new(text.len()),
        }
    }

    /// Returns the line of a byte offset, counted from 1; an offset behind the
    /// text is on its last line.
    #[must_use]
    pub fn find_line(&self, offset: usize) -> usize {
        let offset = offset.min(self.length);
        self.starts.partition_point(|start| {
            self.steps.set(self.steps.get() + 1);
            *start <= offset
        })
    }

    /// Returns the bytes read and the line starts compared so far.
    #[must_use]
    pub fn get_steps(&self) -> usize {
        self.steps.get()
    }
}
