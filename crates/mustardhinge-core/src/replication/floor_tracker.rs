use crate::ids::TargetId;
use crate::units::{LogPosition, MonotonicTime};

use super::{FloorAction, FloorRound, FloorSettings, GroupMembers, RoundNumber, ServerReport};

/// Batches reads without a token into rounds that determine their floor.
///
/// A read that arrives during a round joins the next round, so that all reports
/// of its round are requested after the read arrived.
#[derive(Clone, Debug)]
pub struct FloorTracker {
    members: GroupMembers,
    settings: FloorSettings,
    unresponsive: Vec<bool>,
    last_number: RoundNumber,
    running: Option<FloorRound>,
    is_next_requested: bool,
}

impl FloorTracker {
    /// Creates a tracker without rounds.
    #[must_use]
    pub fn new(members: GroupMembers, settings: FloorSettings) -> Self {
        let unresponsive = vec![false; members.count()];
        Self {
            members,
            settings,
            unresponsive,
            last_number: RoundNumber::default(),
            running: None,
            is_next_requested: false,
        }
    }

    /// Sets whether a server is unresponsive; once a majority has responded, a
    /// round does not wait for such servers.
    pub fn set_unresponsive(&mut self, target: &TargetId, is_unresponsive: bool) {
        if let Some(index) = self.members.index_of(target) {
            self.unresponsive[index] = is_unresponsive;
        }
    }

    /// Adds a read and returns the round that determines its floor and the
    /// action to perform, if any.
    pub fn join(&mut self, now: MonotonicTime) -> (RoundNumber, Option<FloorAction>) {
        if self.running.is_some() {
            self.is_next_requested = true;
            return (self.last_number.next(), None);
        }
        let action = self.start(now);
        (self.last_number, Some(action))
    }

    /// Records a report that was requested at `requested_at`; it is ignored if
    /// that was before the start of the round in progress.
    pub fn observe(
        &mut self,
        report: &ServerReport,
        requested_at: MonotonicTime,
        now: MonotonicTime,
    ) -> Vec<FloorAction> {
        let Some(index) = self.members.index_of(&report.target) else {
            return Vec::new();
        };
        let Some(round) = &mut self.running else {
            return Vec::new();
        };
        if requested_at < round.started_at {
            return Vec::new();
        }
        round.record(index, report.last);
        self.advance(now)
    }

    /// Ends the round in progress if it is complete or has timed out.
    pub fn expire(&mut self, now: MonotonicTime) -> Vec<FloorAction> {
        self.advance(now)
    }

    /// Returns the time at which `expire` has to be called next, if any.
    #[must_use]
    pub fn next_deadline(&self) -> Option<MonotonicTime> {
        let round = self.running.as_ref()?;
        let timeout = round.started_at + self.settings.get_timeout();
        let straggler_wait = self.settings.get_straggler_wait();
        Some(match round.majority_at {
            Some(majority_at) => timeout.min(majority_at + straggler_wait),
            None => timeout,
        })
    }

    fn advance(&mut self, now: MonotonicTime) -> Vec<FloorAction> {
        let Some(round) = &mut self.running else {
            return Vec::new();
        };
        let floor = round.floor(&self.members);
        if floor.is_some() && round.majority_at.is_none() {
            round.majority_at = Some(now);
        }
        let number = round.number;
        let is_complete = round.is_complete(&self.unresponsive);
        let is_due = self.next_deadline().is_some_and(|deadline| deadline <= now);
        match floor {
            Some(floor) if is_complete || is_due => self.finish(complete_round(number, floor), now),
            None if is_due => self.finish(FloorAction::Fail(number), now),
            _ => Vec::new(),
        }
    }

    fn finish(&mut self, action: FloorAction, now: MonotonicTime) -> Vec<FloorAction> {
        self.running = None;
        let mut actions = vec![action];
        if self.is_next_requested {
            actions.push(self.start(now));
        }
        actions
    }

    fn start(&mut self, now: MonotonicTime) -> FloorAction {
        self.is_next_requested = false;
        self.last_number = self.last_number.next();
        let servers = self.members.count();
        self.running = Some(FloorRound::new(self.last_number, servers, now));
        FloorAction::RequestReports(self.last_number)
    }
}

fn complete_round(round: RoundNumber, floor: LogPosition) -> FloorAction {
    FloorAction::Complete { round, floor }
}
