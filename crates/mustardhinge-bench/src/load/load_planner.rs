use std::time::Duration;

use mustardhinge_core::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::{CustomerProfile, DeploymentProfile, PlannedOperation, SessionPlan};
use crate::history::OperationKind;

/// The chance that a session moves to another instance before an operation.
const ROAM_CHANCE: f64 = 0.1;

/// The time after which a customer's sessions share another row.
const SHARED_ROW_SECONDS: u64 = 1;

/// The mean time between the operations of callers without a key.
const OPEN_SESSION_GAP: Duration = Duration::from_millis(100);

/// The rows that a read on an open route asks for.
const OPEN_READ_ROWS: u32 = 20;

/// Returns when the surge begins and ends in a run: before the faults.
#[must_use]
pub fn surge_span(duration: Duration) -> (Duration, Duration) {
    (duration / 10, duration * 2 / 5)
}

/// Plans the sessions of a run from a seed: the same seed gives the same load.
#[derive(Debug)]
pub struct LoadPlanner<'a> {
    profile: &'a DeploymentProfile,
    duration: Duration,
    rng: StdRng,
    next_number: u64,
}

impl<'a> LoadPlanner<'a> {
    /// Starts a plan of `duration`.
    #[must_use]
    pub fn new(profile: &'a DeploymentProfile, seed: u64, duration: Duration) -> Self {
        Self {
            profile,
            duration,
            rng: StdRng::seed_from_u64(seed),
            next_number: 1,
        }
    }

    /// Plans every session of every customer and service.
    #[must_use]
    pub fn plan(mut self) -> Vec<SessionPlan> {
        let mut plans = Vec::new();
        for service in &self.profile.services {
            for customer in &self.profile.customers {
                for number in 1..=customer.sessions {
                    plans.push(self.plan_session(service, customer, number));
                }
            }
            plans.push(self.plan_open_session(service));
        }
        plans
    }

    /// Returns every row that the plans touch, by service, to be made beforehand.
    #[must_use]
    pub fn list_rows(plans: &[SessionPlan]) -> Vec<(ServiceId, String)> {
        let mut rows: Vec<_> = plans
            .iter()
            .flat_map(|plan| {
                plan.operations.iter().flat_map(|operation| {
                    let written = operation.kind.written_keys().iter().map(String::as_str);
                    written
                        .chain(operation.kind.read_key())
                        .map(|key| (plan.service.clone(), key.to_owned()))
                })
            })
            .collect();
        rows.sort();
        rows.dedup();
        rows
    }

    fn plan_session(
        &mut self,
        service: &ServiceId,
        customer: &CustomerProfile,
        number: u32,
    ) -> SessionPlan {
        let name = format!("{service}-{}-{number}", customer.customer);
        let has_token = number.is_multiple_of(2);
        let mut operations = Vec::new();
        let mut due = Duration::ZERO;
        loop {
            due += self.draw_gap(customer, due);
            if due >= self.duration {
                break;
            }
            operations.push(self.plan_operation(customer, &name, has_token, due));
        }
        SessionPlan {
            service: service.clone(),
            customer: Some(customer.customer.clone()),
            key: customer.key(),
            session: name
                .parse()
                .expect("the names of a profile are identifiers"),
            has_token,
            first_instance: self.rng.random_range(0..self.profile.instances as usize),
            operations,
        }
    }

    /// Plans the session of callers without a key, on the open route.
    fn plan_open_session(&mut self, service: &ServiceId) -> SessionPlan {
        let mut operations = Vec::new();
        let mut due = Duration::ZERO;
        loop {
            due += OPEN_SESSION_GAP.mul_f64(self.rng.random_range(0.0..2.0));
            if due >= self.duration {
                break;
            }
            operations.push(PlannedOperation {
                number: self.next_number,
                due,
                kind: OperationKind::OpenRead {
                    rows: OPEN_READ_ROWS,
                },
                roams: self.rng.random_bool(ROAM_CHANCE),
            });
            self.next_number += 1;
        }
        SessionPlan {
            service: service.clone(),
            customer: None,
            key: String::new(),
            session: format!("{service}-open")
                .parse()
                .expect("the names of a profile are identifiers"),
            has_token: false,
            first_instance: self.rng.random_range(0..self.profile.instances as usize),
            operations,
        }
    }

    /// Draws the time to a session's next operation; shorter during the surge.
    fn draw_gap(&mut self, customer: &CustomerProfile, due: Duration) -> Duration {
        let (start, end) = surge_span(self.duration);
        let is_surge = due >= start && due < end;
        let factor = if is_surge { customer.surge_factor } else { 1.0 };
        let rate = customer.offered_per_s * factor / f64::from(customer.sessions);
        let uniform: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
        Duration::from_secs_f64(-uniform.ln() / rate)
    }

    fn plan_operation(
        &mut self,
        customer: &CustomerProfile,
        session: &str,
        has_token: bool,
        due: Duration,
    ) -> PlannedOperation {
        let number = self.next_number;
        self.next_number += 1;
        let shared = due.as_secs() / SHARED_ROW_SECONDS;
        let key = if self.rng.random_bool(0.5) {
            session.to_owned()
        } else {
            format!("{}-shared-{shared}", customer.customer)
        };
        PlannedOperation {
            number,
            due,
            kind: self.draw_kind(key, number, session, has_token),
            roams: self.rng.random_bool(ROAM_CHANCE),
        }
    }

    fn draw_kind(
        &mut self,
        key: String,
        number: u64,
        session: &str,
        has_token: bool,
    ) -> OperationKind {
        let mix = self.profile.mix;
        let value = format!("value-{number}");
        let mut draw = self.rng.random_range(0..mix.total());
        let mut falls_in = |weight: u32| {
            let is_inside = draw < weight;
            draw = draw.saturating_sub(weight);
            is_inside
        };
        if falls_in(mix.confirmations) {
            OperationKind::Confirmation { key, value }
        } else if falls_in(mix.orders) {
            OperationKind::Order { key, value }
        } else if falls_in(mix.reassignments) {
            let keys = [format!("{session}-from"), format!("{session}-to")];
            OperationKind::Reassignment { keys, value }
        } else if falls_in(mix.newest_reads) {
            OperationKind::NewestRead { key, has_token }
        } else if falls_in(mix.aged_reads) {
            OperationKind::AgedRead { key }
        } else {
            OperationKind::OpenRead {
                rows: OPEN_READ_ROWS,
            }
        }
    }
}
