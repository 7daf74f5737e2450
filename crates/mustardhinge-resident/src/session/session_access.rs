use bytes::Bytes;
use mustardhinge_core::key::KeyDigest;
use mustardhinge_core::prelude::{CustomerId, DocumentVersion, RefusalReason};

use super::CheckedAccess;
use crate::adapter::SessionRefusal;
use crate::plan::ServingPlan;

/// Customer name sent to targets for callers without a known key, on public routes.
const PUBLIC_CUSTOMER: &str = "public";

/// Database and key of a session, checked against the newest configuration.
#[derive(Clone, Debug, Default)]
pub struct SessionAccess {
    database: Bytes,
    digest: Option<KeyDigest>,
    checked: Option<(DocumentVersion, CheckedAccess)>,
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

    /// Returns the route, the customer and their home regions according to `plan`.
    ///
    /// A successful result is cached until the version of the plan changes.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the database or the key is not known.
    pub fn check(&mut self, plan: &ServingPlan) -> Result<CheckedAccess, SessionRefusal> {
        if let Some((version, access)) = &self.checked
            && *version == plan.version()
        {
            return Ok(access.clone());
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
        let access = CheckedAccess {
            homes: plan.home_regions(&route, &customer),
            route,
            customer,
        };
        self.checked = Some((plan.version(), access.clone()));
        Ok(access)
    }

    /// Returns the result of the last check, if it succeeded.
    #[must_use]
    pub fn last_checked(&self) -> Option<CheckedAccess> {
        let (_, access) = self.checked.as_ref()?;
        Some(access.clone())
    }

    /// Returns whether `customer` is the one shared by all callers without a key, which has no
    /// rate limit.
    #[must_use]
    pub fn is_public(customer: &CustomerId) -> bool {
        customer.as_str() == PUBLIC_CUSTOMER
    }
}
