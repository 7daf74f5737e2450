use std::time::Duration;

use mustardhinge_core::prelude::*;
use mustardhinge_process::ProcessClock;
use mustardhinge_standins::target::TargetHandle;
use mustardhinge_standins::target::member::MemberRole;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::ObservedGroup;
use super::observed_group::RoleSpan;

/// The time between two looks at a group.
const LOOK_INTERVAL: Duration = Duration::from_millis(2);

/// Looks at a group's targets during a run and notes who is primary.
#[derive(Debug)]
pub struct GroupObserver {
    stop: watch::Sender<bool>,
    task: JoinHandle<ObservedGroup>,
}

impl GroupObserver {
    /// Starts to look at `targets`.
    #[must_use]
    pub fn start(targets: Vec<TargetHandle>, clock: ProcessClock) -> Self {
        let (stop, stopped) = watch::channel(false);
        let task = tokio::spawn(observe(targets, clock, stopped));
        Self { stop, task }
    }

    /// Stops and returns what was seen.
    ///
    /// # Errors
    ///
    /// Fails if the observer panicked.
    pub async fn finish(self) -> anyhow::Result<ObservedGroup> {
        self.stop.send_replace(true);
        Ok(self.task.await?)
    }
}

async fn observe(
    targets: Vec<TargetHandle>,
    clock: ProcessClock,
    stopped: watch::Receiver<bool>,
) -> ObservedGroup {
    let mut observed = ObservedGroup::default();
    let mut roles: Vec<Option<bool>> = vec![None; targets.len()];
    while !*stopped.borrow() {
        for (index, target) in targets.iter().enumerate() {
            let report = target.report();
            let is_primary = report.role == MemberRole::Primary;
            if roles[index] != Some(is_primary) {
                roles[index] = Some(is_primary);
                observed.roles.push(RoleSpan {
                    target: index,
                    first_statement: target.statements().len(),
                    is_primary,
                });
            }
            if is_primary {
                note_promotion(&mut observed, index, report.term, clock.now());
            }
        }
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
    observed
}

fn note_promotion(
    observed: &mut ObservedGroup,
    target: usize,
    term: LeaderTerm,
    now: MonotonicTime,
) {
    let is_known = observed
        .promotions
        .iter()
        .any(|(known, known_term, _)| (*known, *known_term) == (target, term));
    if !is_known {
        observed.promotions.push((target, term, now));
    }
}
