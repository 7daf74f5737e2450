use std::sync::Arc;

use mustardhinge_config::document::GroupEntry;
use mustardhinge_core::prelude::*;
use mustardhinge_core::replication::{GroupMembers, GroupView};
use mustardhinge_rpc::control::GroupState;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use super::group_event::GroupEvent;
use super::target_probe::{ProbeTiming, probe_target};
use crate::state::SharedState;
use crate::target::TargetLink;

/// Events that wait for the watch before probes are held up.
const EVENT_QUEUE: usize = 64;

/// The watch of one database group.
pub(super) struct GroupWatch {
    group: GroupId,
    view: GroupView,
    state: Arc<SharedState>,
    events: mpsc::Receiver<GroupEvent>,
    _probes: JoinSet<()>,
}

impl GroupWatch {
    /// Starts to probe the targets of a group.
    pub(super) fn start(group: &GroupEntry, timing: ProbeTiming, state: Arc<SharedState>) -> Self {
        let (sender, events) = mpsc::channel(EVENT_QUEUE);
        let mut probes = JoinSet::new();
        for target in &group.targets {
            let link = Arc::new(TargetLink::new(target.address));
            let name = target.name.clone();
            probes.spawn(probe_target(
                name,
                link,
                timing,
                state.clone(),
                sender.clone(),
            ));
        }
        let targets = group.targets.iter().map(|target| target.name.clone());
        Self {
            group: group.name.clone(),
            view: GroupView::new(GroupMembers::new(targets)),
            state,
            events,
            _probes: probes,
        }
    }

    /// Handles events for as long as it is polled.
    pub(super) async fn run(mut self) {
        while let Some(event) = self.events.recv().await {
            self.handle(event);
        }
    }

    fn handle(&mut self, event: GroupEvent) {
        match event {
            GroupEvent::Report {
                report,
                requested_at,
            } => {
                let now = self.state.now();
                self.view.observe(report, requested_at, now);
                self.publish_primary();
            }
            GroupEvent::Silence { target } => {
                let group = self.group.clone();
                log::debug!("group={group} target={target} gave no answer");
            }
        }
    }

    fn publish_primary(&self) {
        let Some(primary) = self.view.primary() else {
            return;
        };
        self.state.take_group(GroupState {
            group: self.group.clone(),
            term: primary.report.term,
            primary: Some(primary.report.target.clone()),
        });
    }
}
