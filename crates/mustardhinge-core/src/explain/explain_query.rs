use super::RequestKind;
use crate::ids::{CustomerId, RouteName, ServiceId};

/// The request to explain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExplainQuery {
    /// The service.
    pub service: ServiceId,
    /// The name of the route, or of its database.
    pub route: RouteName,
    /// The customer.
    pub customer: CustomerId,
    /// The kind of the request.
    pub kind: RequestKind,
}
