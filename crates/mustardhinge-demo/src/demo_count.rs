use std::fmt;

/// What became of the demo's requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct DemoCount {
    requests: u32,
    completed: u32,
    refused: u32,
    lost: u32,
}

impl DemoCount {
    /// Counts a request by its result, which is passed on.
    pub(crate) fn add<T>(&mut self, result: anyhow::Result<T>) -> anyhow::Result<T> {
        self.requests += 1;
        match &result {
            Ok(_) => self.completed += 1,
            Err(_) => self.refused += 1,
        }
        result
    }

    /// Counts a confirmed write that a later read did not see.
    pub(crate) fn add_lost(&mut self) {
        self.lost += 1;
    }

    /// Tells whether nothing confirmed was lost.
    pub(crate) fn is_whole(&self) -> bool {
        self.lost == 0
    }
}

impl fmt::Display for DemoCount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "demo: {} requests, {} completed, {} refused, {} lost",
            self.requests, self.completed, self.refused, self.lost
        )
    }
}
