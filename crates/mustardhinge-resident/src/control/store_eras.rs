use std::cell::Cell;

use mustardhinge_core::primary_lease::{EraError, NewestEra, StoreEra};

/// The eras of the store that this instance has seen, in responses and in messages.
///
/// The client of the platform passes the era of each response to it before it uses the response.
#[derive(Debug, Default)]
pub struct StoreEras {
    newest: Cell<NewestEra>,
}

impl StoreEras {
    /// Returns the newest era seen.
    #[must_use]
    pub const fn newest(&self) -> NewestEra {
        self.newest.get()
    }

    /// Records an era that another instance has seen.
    pub fn observe(&self, era: StoreEra) {
        let mut newest = self.newest.get();
        newest.observe(era);
        self.newest.set(newest);
    }

    /// Records the era of a response.
    ///
    /// # Errors
    ///
    /// Fails if the response must not be used.
    pub fn accept(&self, era: StoreEra) -> Result<(), EraError> {
        let mut newest = self.newest.get();
        let result = newest.accept(era);
        self.newest.set(newest);
        result
    }
}
