use std::collections::BTreeMap;

use mustardhinge_config::document::ServiceDocument;
use mustardhinge_core::prelude::*;
use mustardhinge_core::queue::CustomerWeight;

/// Thousandths in one request per second.
const MILLIS_PER_REQUEST: f64 = 1_000.0;

/// Weights of the customers in queues with priorities.
///
/// # Examples
///
/// ```
/// use mustardhinge_config::document::ServiceDocument;
/// use mustardhinge_entry::control::CustomerWeights;
///
/// # let text = include_str!("../../../../examples/taiwan-north/swatch-1.toml");
/// let mut document = ServiceDocument::parse(text).unwrap();
/// let yilan = "yilan".parse().unwrap();
/// let weights = CustomerWeights::of(&document);
/// assert_eq!(weights.weight_of(&yilan).unwrap().get(), 30);
///
/// document.routes.clear();
/// assert_eq!(CustomerWeights::of(&document).weight_of(&yilan), None);
/// ```
#[derive(Clone, Debug)]
pub struct CustomerWeights(Option<BTreeMap<CustomerId, CustomerWeight>>);

impl CustomerWeights {
    /// Returns the weights of a service's customers, in proportion to their rates. Without routes
    /// of different priorities there are none.
    #[must_use]
    pub fn of(document: &ServiceDocument) -> Self {
        let customers = document.customers.iter().map(|customer| {
            // Rates are far below the precision of the conversion.
            let per_second = customer.rate.as_millis() as f64 / MILLIS_PER_REQUEST;
            (customer.name.clone(), CustomerWeight::from_rate(per_second))
        });
        Self(document.has_route_priorities().then(|| customers.collect()))
    }

    /// Returns the weight of a customer, or `None` if requests wait without priorities. Callers
    /// without a key have the lowest.
    #[must_use]
    pub fn weight_of(&self, customer: &CustomerId) -> Option<CustomerWeight> {
        let weights = self.0.as_ref()?;
        Some(weights.get(customer).copied().unwrap_or_default())
    }
}
