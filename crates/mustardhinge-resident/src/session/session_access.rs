use std::rc::Rc;

use bytes::Bytes;
use mustardhinge_core::key::KeyDigest;
use mustardhinge_core::prelude::{CustomerId, DocumentVersion, RefusalReason};

use crate::adapter::SessionRefusal;
use crate::plan::{PlanRoute, ServingPlan};

/// Customer name sent to targets for callers without a known key, on public routes.
const PUBLIC_CUSTOMER: &str = "public";

/// Database and key of a session, checked against the newest configuration.
#[derive(Clone, Debug, Default)]
pub struct SessionAccess {
    database: Bytes,
    digest: Option<KeyDigest>,
    checked: Option<(DocumentVersion, Rc<PlanRoute>, CustomerId)>,
}

impl SessionAccess {
    /// Creates the access of a session that requests `database` and presents `key`.
    #[must_use]
    pub fn new(database: Bytes, key: Option<&Bytes>) -> Self {
        Self {
            database,
            digest: key.map(|key| KeyDigest::of(key)),
            checked: None,
        }
    }

    /// Returns the route and the customer according to `plan`.
    ///
    /// A successful result is cached until the version of the plan changes.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the database or the key is not known.
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

    /// Returns the result of the last check, if it succeeded.
    #[must_use]
    pub fn last_checked(&self) -> Option<(Rc<PlanRoute>, CustomerId)> {
        let (_, route, customer) = self.checked.as_ref()?;
        Some((Rc::clone(route), customer.clone()))
    }

    /// Returns whether `customer` is the one shared by all callers without a key, which has no
    /// rate limit.
    #[must_use]
    pub fn is_public(customer: &CustomerId) -> bool {
        customer.as_str() == PUBLIC_CUSTOMER
    }
}
