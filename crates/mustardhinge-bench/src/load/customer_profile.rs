use mustardhinge_core::prelude::*;

/// A customer of each service, and what it sends.
#[derive(Clone, Debug, PartialEq)]
pub struct CustomerProfile {
    /// The customer.
    pub customer: CustomerId,
    /// Its rate in the documents.
    pub rate: RequestRate,
    /// Its burst in the documents.
    pub burst: RequestBurst,
    /// What it sends on an ordinary day, in requests a second.
    pub offered_per_s: f64,
    /// How many times that it sends during the surge.
    pub surge_factor: f64,
    /// Its sessions.
    pub sessions: u32,
}

impl CustomerProfile {
    /// Returns the key that the customer's callers show.
    #[must_use]
    pub fn key(&self) -> String {
        format!("key-of-{}-7f3a91", self.customer)
    }
}
