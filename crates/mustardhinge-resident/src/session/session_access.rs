use std::rc::Rc;

use bytes::Bytes;
use mustardhinge_core::key::KeyDigest;
use mustardhinge_core::prelude::{CustomerId, DocumentVersion, RefusalReason};

use crate::adapter::SessionRefusal;
use crate::plan::{PlanRoute, ServingPlan};

/// The customer that targets are told on routes open to all.
const PUBLIC_CUSTOMER: &str = "public";

/// What a session may do: its database and key, checked against the newest configuration.
#[derive(Clone, Debug, Default)]
pub struct SessionAccess {
    database: Bytes,
    digest: Option<KeyDigest>,
    checked: Option<(DocumentVersion, Rc<PlanRoute>, CustomerId)>,
}

impl SessionAccess {
    /// Makes the access of a session that names `database` and shows `key`.
    #[must_use]
    pub fn new(database: Bytes, key: Option<&Bytes>) -> Self {
        Self {
            database,
            digest: key.map(|key| KeyDigest::of(key)),
            checked: None,
        }
    }

    /// Returns the route and the customer, by the newest configuration.
    ///
    /// # Errors
    ///
    /// Says whether the database or the key is not known.
    pub fn check(
        &mut self,
        plan: &ServingPlan,
    ) -> Result<(Rc<PlanRoute>, CustomerId), SessionRefusal> {
        if let Some((version, route, customer)) = &self.checked
            && *version == plan.version()
        {
            return Ok((Rc::clone(route), customer.clone()));
        }
        self.checked = None;
        let refused = |reason| SessionRefusal::NotRun {
            reason,
            retry_after: None,
        };
        let route = plan.route(&self.database).cloned();
        let route = route.ok_or_else(|| refused(RefusalReason::ServiceUnknown))?;
        let known = self
            .digest
            .as_ref()
            .and_then(|digest| plan.find_customer(digest));
        let customer = match known {
            Some(customer) => customer.clone(),
            None if route.is_public => PUBLIC_CUSTOMER
                .parse()
                .map_err(|_| refused(RefusalReason::KeyRejected))?,
            None => return Err(refused(RefusalReason::KeyRejected)),
        };
        self.checked = Some((plan.version(), Rc::clone(&route), customer.clone()));
        Ok((route, customer))
    }

    /// Returns what the last check found, if it found anything.
    #[must_use]
    pub fn last(&self) -> Option<(Rc<PlanRoute>, CustomerId)> {
        let (_, route, customer) = self.checked.as_ref()?;
        Some((Rc::clone(route), customer.clone()))
    }

    /// Returns whether `customer` stands for all callers without a key, whom no rate binds.
    #[must_use]
    pub fn is_public(customer: &CustomerId) -> bool {
        customer.as_str() == PUBLIC_CUSTOMER
    }
}
