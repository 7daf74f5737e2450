use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use mustardhinge_core::budget::{Admission, EntryAllowance, LedgerRequest};
use mustardhinge_core::prelude::*;
use mustardhinge_process::ProcessClock;
use mustardhinge_rpc::budget::BudgetRequest;
use tokio::sync::Notify;
use tokio::time::sleep;

use crate::control::AgentClient;

/// Maximum time that a request waits for its customer's budget to refill. If the
/// refill takes longer, the request is refused at once.
const MAX_REFILL_WAIT: Duration = Duration::from_millis(50);

/// Minimum time that a request waits for a refill.
const MIN_REFILL_WAIT: Duration = Duration::from_millis(1);

/// Budget of one customer at this entry.
#[derive(Debug)]
pub struct CustomerBudget {
    service: ServiceId,
    customer: CustomerId,
    clock: ProcessClock,
    agent: AgentClient,
    state: Mutex<BudgetState>,
    response_received: Notify,
}

#[derive(Debug)]
struct BudgetState {
    allowance: EntryAllowance,
    waiting: u32,
}

impl CustomerBudget {
    /// Creates a budget from an allowance.
    #[must_use]
    pub fn new(
        service: ServiceId,
        customer: CustomerId,
        allowance: EntryAllowance,
        agent: AgentClient,
        clock: ProcessClock,
    ) -> Arc<Self> {
        let waiting = 0;
        Arc::new(Self {
            service,
            customer,
            clock,
            agent,
            state: Mutex::new(BudgetState { allowance, waiting }),
            response_received: Notify::new(),
        })
    }

    /// Admits one request. Requests a grant from the ledgers first if one is
    /// needed.
    ///
    /// # Errors
    ///
    /// Returns the retry delay if the budget is exhausted.
    pub async fn admit(self: &Arc<Self>) -> Result<(), RetryDelay> {
        let first = self.lock().allowance.try_admit(self.clock.now());
        let admitted = match first {
            Admission::Admitted => Ok(()),
            Admission::Refused { retry_after } => self.wait_for_refill(retry_after).await,
            Admission::NeedsGrant => self.wait_for_budget().await,
        };
        self.send_due_request();
        admitted
    }

    /// Waits for an imminent refill instead of refusing a request that is within
    /// the rate.
    async fn wait_for_refill(self: &Arc<Self>, refill: RetryDelay) -> Result<(), RetryDelay> {
        if refill.get() > MAX_REFILL_WAIT {
            return Err(refill);
        }
        sleep(refill.get().max(MIN_REFILL_WAIT)).await;
        self.wait_for_budget().await
    }

    async fn wait_for_budget(self: &Arc<Self>) -> Result<(), RetryDelay> {
        let _waiting = WaitingRequest::new(self);
        loop {
            let response_received = self.response_received.notified();
            tokio::pin!(response_received);
            response_received.as_mut().enable();
            let decision = self.lock().allowance.retry_admit(self.clock.now());
            match decision {
                Admission::Admitted => return Ok(()),
                Admission::Refused { retry_after } => return Err(retry_after),
                Admission::NeedsGrant => self.send_due_request(),
            }
            response_received.await;
        }
    }

    /// Sends the request that is due, if any, and applies its response.
    pub fn send_due_request(self: &Arc<Self>) {
        let due = {
            let mut state = self.lock();
            let waiting = state.waiting;
            state.allowance.next_request(waiting, self.clock.now())
        };
        if let Some((zone, ask)) = due {
            tokio::spawn(Arc::clone(self).send_request(zone, ask));
        }
    }

    async fn send_request(self: Arc<Self>, zone: ZoneId, ask: LedgerRequest) {
        let sequence = ask.sequence;
        let request = BudgetRequest {
            service: self.service.clone(),
            customer: self.customer.clone(),
            ledger_zone: zone.clone(),
            ask,
        };
        let response = self.agent.acquire_budget(request).await;
        {
            let now = self.clock.now();
            let allowance = &mut self.lock().allowance;
            match response {
                Some(response) => allowance.on_response(&zone, &response, now),
                None => allowance.on_failure(&zone, sequence, now),
            }
        }
        self.response_received.notify_waiters();
    }

    fn lock(&self) -> MutexGuard<'_, BudgetState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Guard that counts a request as waiting until it is dropped.
struct WaitingRequest<'a>(&'a CustomerBudget);

impl<'a> WaitingRequest<'a> {
    fn new(budget: &'a CustomerBudget) -> Self {
        budget.lock().waiting += 1;
        Self(budget)
    }
}

impl Drop for WaitingRequest<'_> {
    fn drop(&mut self) {
        self.0.lock().waiting -= 1;
    }
}
