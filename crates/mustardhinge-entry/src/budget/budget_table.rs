use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use mustardhinge_core::budget::{ClientId, EntryAllowance};
use mustardhinge_core::prelude::*;
use mustardhinge_process::ProcessClock;

use super::CustomerBudget;
use crate::control::AgentClient;

type BudgetKey = (ServiceId, CustomerId);

/// Budgets of all customers that have sent requests to this entry.
#[derive(Debug)]
pub struct BudgetTable {
    client: ClientId,
    own_zone: ZoneId,
    agent: AgentClient,
    clock: ProcessClock,
    budgets: Mutex<HashMap<BudgetKey, Arc<CustomerBudget>>>,
}

impl BudgetTable {
    /// Creates an empty table for the entry with this client id.
    #[must_use]
    pub fn new(
        client: ClientId,
        own_zone: ZoneId,
        agent: AgentClient,
        clock: ProcessClock,
    ) -> Self {
        Self {
            client,
            own_zone,
            agent,
            clock,
            budgets: Mutex::default(),
        }
    }

    /// Admits one request of a customer. `zones` are the zones of the service.
    ///
    /// # Errors
    ///
    /// Returns the retry delay if the budget is exhausted.
    pub async fn admit(
        &self,
        service: &ServiceId,
        customer: &CustomerId,
        zones: &[ZoneId],
    ) -> Result<(), RetryDelay> {
        self.budget(service, customer, zones).admit().await
    }

    /// Sends the due request of every budget. Such requests also return unused
    /// grants.
    pub fn return_unused(&self) {
        let budgets: Vec<_> = self.lock().values().cloned().collect();
        for budget in budgets {
            budget.send_due_request();
        }
    }

    fn budget(
        &self,
        service: &ServiceId,
        customer: &CustomerId,
        zones: &[ZoneId],
    ) -> Arc<CustomerBudget> {
        let key = (service.clone(), customer.clone());
        let mut budgets = self.lock();
        let budget = budgets
            .entry(key)
            .or_insert_with(|| self.new_budget(service, customer, zones));
        Arc::clone(budget)
    }

    fn new_budget(
        &self,
        service: &ServiceId,
        customer: &CustomerId,
        zones: &[ZoneId],
    ) -> Arc<CustomerBudget> {
        let other_zones = zones.iter().filter(|zone| **zone != self.own_zone).cloned();
        let allowance = EntryAllowance::new(
            self.client.clone(),
            self.own_zone.clone(),
            other_zones,
            self.clock.now(),
        );
        CustomerBudget::new(
            service.clone(),
            customer.clone(),
            allowance,
            self.agent.clone(),
            self.clock,
        )
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<BudgetKey, Arc<CustomerBudget>>> {
        self.budgets.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
