use std::fmt::Write;
use std::net::SocketAddr;

use mustardhinge_core::key::KeyDigest;
use mustardhinge_core::prelude::*;

use crate::load::{
    AGED_ROUTE, CONFIRM_ROUTE, DeploymentProfile, NEWEST_ROUTE, OPEN_ROUTE, ORDER_ROUTE,
    REASSIGN_ROUTE,
};

/// The document of a service, as its operators would write it.
#[derive(Clone, Debug)]
pub struct ServiceText<'a> {
    profile: &'a DeploymentProfile,
    service: &'a ServiceId,
    addresses: &'a [SocketAddr],
    leaving: Vec<usize>,
    withdrawn: Option<CustomerId>,
    extra_age_ms: u128,
}

impl<'a> ServiceText<'a> {
    /// Starts the document of a service whose targets are at `addresses`.
    #[must_use]
    pub fn new(
        profile: &'a DeploymentProfile,
        service: &'a ServiceId,
        addresses: &'a [SocketAddr],
    ) -> Self {
        Self {
            profile,
            service,
            addresses,
            leaving: Vec::new(),
            withdrawn: None,
            extra_age_ms: 0,
        }
    }

    /// Marks a target, by its index, as leaving.
    #[must_use]
    pub fn leaving(mut self, index: usize) -> Self {
        self.leaving.push(index);
        self
    }

    /// Leaves the keys of a customer out.
    #[must_use]
    pub fn withdrawn(mut self, customer: CustomerId) -> Self {
        self.withdrawn = Some(customer);
        self
    }

    /// Adds to the age that routes for older rows allow, in milliseconds.
    #[must_use]
    pub const fn extra_age_ms(mut self, extra_ms: u128) -> Self {
        self.extra_age_ms = extra_ms;
        self
    }

    /// Writes the document.
    #[must_use]
    pub fn to_toml(&self) -> String {
        let mut text = String::new();
        self.write(&mut text).expect("writing to a string");
        text
    }

    fn write(&self, text: &mut String) -> std::fmt::Result {
        writeln!(text, "service = \"{}\"\n[limits]", self.service)?;
        let profile = self.profile;
        writeln!(text, "connections_per_target = {}", profile.connections)?;
        writeln!(text, "slots_per_target = {}", profile.slots)?;
        writeln!(text, "replica_wait_ms = {}", profile.replica_wait_ms)?;
        writeln!(text, "max_instances = {}", profile.instances + 1)?;
        writeln!(text, "[group]\nname = \"{}\"", self.service)?;
        for (index, address) in self.addresses.iter().enumerate() {
            let number = u32::try_from(index + 1).unwrap_or(u32::MAX);
            let name = DeploymentProfile::target_name(self.service, number);
            let zone = &profile.zones[index % profile.zones.len()];
            writeln!(
                text,
                "[[group.target]]\nname = \"{name}\"\nzone = \"{zone}\""
            )?;
            writeln!(text, "address = \"{address}\"")?;
            writeln!(text, "leaving = {}", self.leaving.contains(&index))?;
        }
        self.write_customers(text)?;
        self.write_routes(text)
    }

    fn write_customers(&self, text: &mut String) -> std::fmt::Result {
        for customer in &self.profile.customers {
            writeln!(text, "[[customer]]\nname = \"{}\"", customer.customer)?;
            writeln!(
                text,
                "rate = \"{}\"\nburst = \"{}\"",
                customer.rate, customer.burst
            )?;
            let digest = KeyDigest::of(customer.key().as_bytes());
            if self.withdrawn.as_ref() != Some(&customer.customer) {
                writeln!(text, "keys = [\"{digest}\"]")?;
            }
        }
        Ok(())
    }

    fn write_routes(&self, text: &mut String) -> std::fmt::Result {
        let age_ms = self.profile.max_age.as_millis() + self.extra_age_ms;
        let age = format!("max_age_ms = {age_ms}");
        let routes = [
            (CONFIRM_ROUTE, 0, String::from("repeatable = true")),
            (ORDER_ROUTE, 0, String::new()),
            (REASSIGN_ROUTE, 0, String::new()),
            (NEWEST_ROUTE, 1, String::from("repeatable = true")),
            (AGED_ROUTE, 2, format!("repeatable = true\n{age}")),
            (
                OPEN_ROUTE,
                2,
                format!("repeatable = true\nopen = true\n{age}"),
            ),
        ];
        for (name, priority, flags) in routes {
            writeln!(text, "[[route]]\nname = \"{name}\"\n{flags}")?;
            if self.profile.has_priorities {
                writeln!(text, "priority = {priority}")?;
            }
        }
        Ok(())
    }
}
