use std::rc::Rc;
use std::time::Duration;

use mustardhinge_core::explain::{
    ConfigurationReport, ExplainOutcome, ExplainQuery, ExplainReport, ExplainStep, QueryError,
};
use mustardhinge_core::prelude::MonotonicTime;

use super::explain_context::ExplainContext;
use super::lease_step::{floor_step, lease_step};
use super::millis::millis;
use super::primary_choice::choose_primary;
use super::rate_step::rate_step;
use super::read_choice::choose_for_read;
use super::step_decision::StepDecision;
use super::target_choice::TargetChoice;
use super::target_rows::{admission_row, gateway_row, path_of, wait_row};
use crate::node::{DrainPhase, NodeState};
use crate::plan::{PlanRoute, ReadRule, ServingPlan};
use crate::session::{STALENESS_MARGIN, SessionAccess};

/// Returns where the instance would route a request that arrives at `now`, and why, without any
/// effect on the instance.
///
/// # Errors
///
/// Returns an error if the service, the route or the customer is not in the configuration.
pub fn explain_request(
    node: &NodeState,
    query: &ExplainQuery,
    now: MonotonicTime,
) -> Result<ExplainReport, QueryError> {
    let plan = node.plan();
    if plan.version().get() == 0 {
        return Ok(report_without_configuration(node, query));
    }
    let route = check_query(&plan, query)?;
    let context = ExplainContext::new(node, query, Rc::clone(&route), now);
    let (rate, rate_decision) = rate_step(&context);
    let choice = match route.read_rule {
        ReadRule::Bounded(age) | ReadRule::Own(age) if !context.is_at_primary() => {
            choose_for_read(&context, age.saturating_sub(STALENESS_MARGIN))
        }
        _ => choose_primary(&context),
    };
    let (floor, floor_decision) = floor_step(&context);
    let decisions = [rate_decision, choice.decision, floor_decision];
    let mut report = new_report(node, query);
    set_outcome(&mut report, &decisions);
    let chosen = choice.chosen.map(|index| &choice.links[index]);
    report.target = chosen.map(|(target, _)| target.id());
    report.path = chosen.map(|(_, link)| path_of(link));
    report
        .steps
        .push(ExplainStep::Configuration(configuration_of(&plan, &route)));
    report.steps.push(ExplainStep::Rate(rate));
    report.steps.push(ExplainStep::Lease(lease_step(&context)));
    push_target_steps(&mut report, &context, choice);
    report.steps.push(ExplainStep::Floor(floor));
    Ok(report)
}

fn check_query(plan: &ServingPlan, query: &ExplainQuery) -> Result<Rc<PlanRoute>, QueryError> {
    if !plan.services().any(|service| *service == query.service) {
        let message = format!(
            "unknown service {}; use one of the configuration",
            query.service
        );
        return Err(QueryError::not_found("service", message));
    }
    let route = plan.find_route(&query.service, &query.route);
    let route = route.ok_or_else(|| {
        let (route, service) = (&query.route, &query.service);
        let message = format!(
            "service {service} has no route {route}; use the name or the database of one of its routes"
        );
        QueryError::not_found("route", message)
    })?;
    let is_public = route.is_public && SessionAccess::is_public(&query.customer);
    let mut customers = plan.customers().iter();
    if !is_public && !customers.any(|known| known.customer == query.customer) {
        let message = format!(
            "unknown customer {}; use one of the configuration, or public on a public route",
            query.customer
        );
        return Err(QueryError::not_found("customer", message));
    }
    Ok(Rc::clone(route))
}

fn new_report(node: &NodeState, query: &ExplainQuery) -> ExplainReport {
    ExplainReport {
        instance: node.settings.instance.clone(),
        zone: node.settings.zone.clone(),
        service: query.service.clone(),
        route: query.route.clone(),
        customer: query.customer.clone(),
        kind: query.kind,
        is_overload_control_on: node.current_overload_control().is_on(),
        is_stopping: node.drain_phase() != DrainPhase::Serving,
        outcome: ExplainOutcome::Run,
        target: None,
        path: None,
        reason: None,
        retry_after_ms: None,
        steps: Vec::new(),
    }
}

/// Returns the report of an instance that can't check the query, since it has no configuration.
fn report_without_configuration(node: &NodeState, query: &ExplainQuery) -> ExplainReport {
    let mut report = new_report(node, query);
    report.outcome = ExplainOutcome::Wait;
    report
        .steps
        .push(ExplainStep::Configuration(ConfigurationReport {
            version: None,
            read_rule: None,
            max_staleness_ms: None,
            priority: None,
            objective_ms: None,
            statement_timeout_ms: None,
            effect: "unknown; a new session waits for the first configuration and is refused \
                     with service_unknown if none arrives within 1,200 ms"
                .to_owned(),
        }));
    report
}

/// Sets the outcome by the first step that doesn't let the request pass.
fn set_outcome(report: &mut ExplainReport, decisions: &[StepDecision]) {
    let first = decisions
        .iter()
        .find(|decision| **decision != StepDecision::Pass);
    match first {
        None | Some(StepDecision::Pass) => {}
        Some(StepDecision::Wait) => report.outcome = ExplainOutcome::Wait,
        Some(StepDecision::Refuse(reason, retry_after)) => {
            report.outcome = ExplainOutcome::Refuse;
            report.reason = Some(reason.label().to_owned());
            report.retry_after_ms = Some(millis(*retry_after));
        }
    }
}

fn configuration_of(plan: &ServingPlan, route: &PlanRoute) -> ConfigurationReport {
    let (rule, age): (_, Option<Duration>) = match route.read_rule {
        ReadRule::Primary => ("primary", None),
        ReadRule::Bounded(age) => ("bounded", Some(age)),
        ReadRule::Own(age) => ("own", Some(age)),
    };
    ConfigurationReport {
        version: Some(plan.version()),
        read_rule: Some(rule.to_owned()),
        max_staleness_ms: age.map(millis),
        priority: Some(route.priority),
        objective_ms: Some(millis(route.objective)),
        statement_timeout_ms: Some(millis(route.statement_timeout)),
        effect: "the route and the customer are known".to_owned(),
    }
}

fn push_target_steps(
    report: &mut ExplainReport,
    context: &ExplainContext<'_>,
    choice: TargetChoice,
) {
    let links = || choice.links.iter().map(|(target, link)| (&**target, link));
    report.steps.push(ExplainStep::Targets {
        candidates: choice.candidates,
        effect: choice.effect,
    });
    report.steps.push(ExplainStep::Gateways {
        targets: links().map(|link| gateway_row(context, link)).collect(),
    });
    report.steps.push(ExplainStep::Waits {
        targets: links().map(|link| wait_row(context, link)).collect(),
    });
    report.steps.push(ExplainStep::Admission {
        targets: links().map(|link| admission_row(context, link)).collect(),
        effect: choice.admission_effect,
    });
}
