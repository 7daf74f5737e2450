use mustardhinge_core::prelude::{MonotonicTime, ServiceId, TargetId};
use mustardhinge_core::primary_lease::{
    CommitCheck, ConfirmingReplicas, ServerStatus, SuccessorChoice,
};
use mustardhinge_process::event;

use super::ControlState;

/// Whether a change of primary waits for a successor that has every acknowledged commit.
#[derive(Debug, Default)]
pub(super) struct SuccessorWait {
    last: Option<CommitCheck>,
    since: Option<MonotonicTime>,
}

impl SuccessorWait {
    /// Restricts a choice to a server that is known to have every acknowledged commit. Logs why the
    /// change has to wait, if it has to.
    pub(super) fn require_commits<P>(
        &mut self,
        control: &ControlState<P>,
        service: &ServiceId,
        (choice, servers): (SuccessorChoice, &[ServerStatus]),
        confirming: ConfirmingReplicas,
    ) -> SuccessorChoice {
        let group_leases = control.group_leases.borrow();
        let Some(leases) = group_leases.get(service) else {
            return choice;
        };
        let search = leases.search();
        match search.restrict(choice, servers, confirming) {
            Ok(choice) => choice,
            Err(check) => {
                let now = control.node.clock.now();
                let since = *self.since.get_or_insert(now);
                let waited = now.saturating_since(since).as_secs_f64();
                record_wait(service, waited);
                if self.last.replace(check) != Some(check) {
                    metrics::counter!(
                        "resident_promotion_delays_total", "reason" => check.to_string()
                    )
                    .increment(1);
                    let unknown: Vec<_> = search.unknown().map(TargetId::as_str).collect();
                    event::PROMOTION_DELAYED.log(format_args!(
                        "service={service} reason={check} unknown={unknown:?} confirming={confirming}"
                    ));
                }
                SuccessorChoice::Wait
            }
        }
    }

    /// Logs the end of the wait, if there was one.
    pub(super) fn end(&mut self, service: &ServiceId, now: MonotonicTime) {
        self.last = None;
        if let Some(since) = self.since.take() {
            record_wait(service, 0.0);
            event::PROMOTION_CONTINUED.log(format_args!(
                "service={service} waited_ms={}",
                now.saturating_since(since).as_millis()
            ));
        }
    }
}

/// Sets the metric of how long the change of a group's primary has been waiting.
fn record_wait(service: &ServiceId, seconds: f64) {
    let service = service.as_str().to_owned();
    metrics::gauge!("resident_promotion_wait_seconds", "service" => service).set(seconds);
}
