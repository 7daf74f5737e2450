use super::{EraError, RecordRevision, StoreEra};

/// The newest era of the store that an instance has seen, which decides what its responses prove.
///
/// # Examples
///
/// ```
/// use mustardhinge_core::primary_lease::{NewestEra, RecordRevision, StoreEra};
///
/// let mut newest = NewestEra::default();
/// let before = newest;
/// assert!(newest.accept(StoreEra::new(1)).is_ok());
/// assert!(newest.accept(StoreEra::new(0)).is_err());
/// assert!(newest.is_outdated(RecordRevision::new(StoreEra::new(0), 7)));
/// assert!(!before.is_before(StoreEra::new(1)), "nothing was known");
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NewestEra(Option<StoreEra>);

impl NewestEra {
    /// Returns the era, or `None` before the first response.
    #[must_use]
    pub const fn get(self) -> Option<StoreEra> {
        self.0
    }

    /// Records an era that another instance has seen.
    pub fn observe(&mut self, era: StoreEra) {
        self.0 = self.0.max(Some(era));
    }

    /// Records the era of a response.
    ///
    /// # Errors
    ///
    /// Fails if the response must not be used: its era is invalid or earlier than the newest one.
    pub fn accept(&mut self, era: StoreEra) -> Result<(), EraError> {
        if era > StoreEra::MAX {
            return Err(EraError::Invalid(era));
        }
        self.observe(era);
        self.check(era)
    }

    /// Checks that no later era was seen since a response of `era` was accepted.
    ///
    /// # Errors
    ///
    /// Fails if there was one.
    pub fn check(self, era: StoreEra) -> Result<(), EraError> {
        match self.0 {
            Some(newest) if newest > era => Err(EraError::Outdated { era, newest }),
            _ => Ok(()),
        }
    }

    /// Returns whether the store was restored since it issued `revision`, whose number must then
    /// not be sent.
    #[must_use]
    pub fn is_outdated(self, revision: RecordRevision) -> bool {
        self.0.is_some_and(|newest| newest > revision.era())
    }

    /// Returns whether the store was restored between this state and a response of `era`. A write
    /// that was sent in this state has an unknown outcome then.
    #[must_use]
    pub fn is_before(self, era: StoreEra) -> bool {
        self.0.is_some_and(|newest| newest < era)
    }
}
