use std::sync::Arc;
use std::time::Duration;

use mustardhinge_core::prelude::*;

use super::run_context::RunContext;
use super::{CallerSession, CallerStream, RequestEnd};
use crate::caller::CallerKey;
use crate::control::ServiceRuntime;
use crate::request::CallerRequest;
use crate::statement::StatementKind;
use crate::wire::ErrorReply;

/// Retry delay for a caller whose key the instance can't verify.
const UNPROVEN_RETRY: RetryDelay = RetryDelay::new(Duration::from_millis(1_000));

/// Retry delay for a caller of a draining instance; it can reconnect to another
/// instance at once.
const DRAINING_RETRY: RetryDelay = RetryDelay::new(Duration::ZERO);

/// Queue shared by all callers without a key.
pub(super) const ANONYMOUS_CUSTOMER: &str = "open";

impl<S: CallerStream> CallerSession<S> {
    /// Admits a request outside a transaction.
    ///
    /// Checks the drain state, the statement kind and the key, then takes one
    /// request from the customer's budget.
    pub(super) async fn admit(&self, request: &CallerRequest) -> Result<RunContext, RequestEnd> {
        let service = self.current_service()?;
        self.check_draining()?;
        self.check_kind(request)?;
        if self.customer.is_some() {
            self.shared.await_proof(service.max_proof_age()).await;
        }
        self.check_key(&service, request)?;
        let customer = self.queue_customer();
        self.check_budget(&service, &customer, request).await?;
        Ok(self.context(service, customer, request))
    }

    /// Admits a request inside a transaction.
    ///
    /// The budget is not charged again: BEGIN was charged for the whole
    /// transaction.
    pub(super) fn admit_in_transaction(
        &self,
        request: &CallerRequest,
    ) -> Result<RunContext, RequestEnd> {
        let service = self.current_service()?;
        self.check_kind(request)?;
        self.check_key(&service, request)?;
        let customer = self.queue_customer();
        Ok(self.context(service, customer, request))
    }

    fn context(
        &self,
        service: Arc<ServiceRuntime>,
        customer: CustomerId,
        request: &CallerRequest,
    ) -> RunContext {
        let route = request
            .tag
            .route
            .as_ref()
            .and_then(|name| service.route(name));
        let max_age = route.and_then(|route| route.max_age_ms);
        let is_repeatable = route.is_some_and(|route| route.repeatable);
        RunContext {
            deadline: self.shared.now() + service.statement_timeout(),
            customer,
            max_age: max_age.map(|ms| Duration::from_millis(ms.into())),
            priority: route.map(|route| route.priority).unwrap_or_default(),
            is_repeatable,
            service,
        }
    }

    pub(super) fn current_service(&self) -> Result<Arc<ServiceRuntime>, RequestEnd> {
        let service = &self.parameters.service;
        self.shared.service(service).ok_or_else(|| {
            let message = format!("service {service} is not known here");
            RequestEnd::refused(RefusalReason::ServiceUnknown, None, &message)
        })
    }

    fn queue_customer(&self) -> CustomerId {
        let open = || ANONYMOUS_CUSTOMER.parse().expect("a valid name");
        self.customer.clone().unwrap_or_else(open)
    }

    fn check_draining(&self) -> Result<(), RequestEnd> {
        if !self.shared.is_draining() {
            return Ok(());
        }
        let reason = RefusalReason::InstanceDraining;
        let message = "this instance is leaving; connect again";
        Err(RequestEnd::refused(reason, Some(DRAINING_RETRY), message))
    }

    fn check_kind(&self, request: &CallerRequest) -> Result<(), RequestEnd> {
        if request.kind != StatementKind::Unsupported {
            return Ok(());
        }
        let message = "COPY, session settings, cursors, LISTEN and several statements that end a \
                       transaction are not supported";
        Err(RequestEnd::refused(
            RefusalReason::Unsupported,
            None,
            message,
        ))
    }

    /// Checks that the key authorizes the request.
    ///
    /// The check is repeated right before the request is sent, because the key
    /// may be withdrawn while the request waits.
    pub(super) fn check_key(
        &self,
        service: &ServiceRuntime,
        request: &CallerRequest,
    ) -> Result<(), RequestEnd> {
        if is_open(service, request) {
            return Ok(());
        }
        let (Some(key), Some(customer)) = (&self.key, &self.customer) else {
            let message = "without a key, only reads on routes open to all may run";
            return Err(RequestEnd::refused(
                RefusalReason::KeyRejected,
                None,
                message,
            ));
        };
        check_key_validity(service, key, customer)?;
        self.check_proof(service)
    }

    fn check_proof(&self, service: &ServiceRuntime) -> Result<(), RequestEnd> {
        if self.is_proven(service) {
            return Ok(());
        }
        let reason = RefusalReason::KeyUnproven;
        let message = "this instance is cut off and can't prove that the key still stands";
        Err(RequestEnd::refused(reason, Some(UNPROVEN_RETRY), message))
    }

    fn is_proven(&self, service: &ServiceRuntime) -> bool {
        let control = self.shared.control();
        control.is_proven(service.max_proof_age(), self.shared.now())
    }

    /// Repeats the checks whose result may have changed while the request waited.
    pub(super) fn recheck(&self, request: &CallerRequest) -> Result<(), RequestEnd> {
        let service = self.current_service()?;
        self.check_key(&service, request)
    }

    /// Takes one request from the customer's budget.
    ///
    /// Callers without a key have no budget. If the key can't be verified and the
    /// budget refuses a read on an open route, the read is served as if the
    /// caller had no key.
    async fn check_budget(
        &self,
        service: &ServiceRuntime,
        customer: &CustomerId,
        request: &CallerRequest,
    ) -> Result<(), RequestEnd> {
        if request.only_prepares() || self.customer.is_none() {
            return Ok(());
        }
        let admitted = self
            .shared
            .budgets
            .admit(&service.document().service, customer, service.zones())
            .await;
        if admitted.is_err() && is_open(service, request) && !self.is_proven(service) {
            return Ok(());
        }
        admitted.map_err(|retry_after| {
            let message = format!("customer {customer} has used up its rate and burst");
            RequestEnd::refused(RefusalReason::RateExceeded, Some(retry_after), &message)
        })
    }
}

fn is_open(service: &ServiceRuntime, request: &CallerRequest) -> bool {
    let route = request
        .tag
        .route
        .as_ref()
        .and_then(|name| service.route(name));
    let reads = request.kind <= StatementKind::Read;
    reads && route.is_some_and(|route| route.open)
}

fn check_key_validity(
    service: &ServiceRuntime,
    key: &CallerKey,
    customer: &CustomerId,
) -> Result<(), RequestEnd> {
    if service.keys().find_customer(key.digest()) == Some(customer) {
        return Ok(());
    }
    let reason = RefusalReason::KeyRejected;
    metrics::counter!("mustardhinge_refusals_total", "reason" => reason.label()).increment(1);
    let reply = ErrorReply::not_run(reason, None, "the key has been withdrawn");
    Err(RequestEnd::Closed(reply.fatal()))
}
