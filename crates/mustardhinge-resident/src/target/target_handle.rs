use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use mustardhinge_core::evacuation::TargetUse;
use mustardhinge_core::gateway::GatewayPair;
use mustardhinge_core::overload::{OverloadControl, ProbeTrust};
use mustardhinge_core::placement::{ColdPeriod, LatencyEstimate, ReplicaLag, TargetLoad};
use mustardhinge_core::prelude::{LogPosition, MonotonicTime, RoutePriority, TargetId};
use mustardhinge_core::queue::{ReportGate, SlotCost, WorkKind};
use mustardhinge_process::{BootClock, event};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use super::connection_pool::ConnectionPool;
use super::idle_connections::IdleConnections;
use super::leased_work::LeasedWork;
use super::queue_metrics::{count_refusal, record_queue_wait};
use super::target_queue::{ConnectionGrant, TargetQueue};
use super::waiting_watch::WaitingWatch;
use super::{ConnectionError, ConnectionRequest, TargetConnection, TargetHealth, TargetLease};
use crate::adapter::{SessionCodec, TargetFault};
use crate::gateway::GatewayLoad;
use crate::node::record_wait;
use crate::plan::TargetEntry;

/// Timeout for opening a connection; a dozen times the typical duration.
const OPEN_TIMEOUT: Duration = Duration::from_millis(300);
/// Delay before opening another connection to a target that has too many. A target counts the
/// connections of dead processes for about three seconds.
const TOO_MANY_CONNECTIONS_DELAY: Duration = Duration::from_millis(100);
/// Retry delay for a session that left the queue without a grant.
const LATE_RETRY_DELAY: Duration = Duration::from_millis(150);

/// This instance's view of one target: connections, queue, health and load.
#[derive(Debug)]
pub struct TargetHandle {
    entry: RefCell<Rc<TargetEntry>>,
    pub(super) connections: ConnectionPool,
    pub(super) idle: IdleConnections,
    pub(super) waiting_watch: WaitingWatch,
    pub(super) queue: TargetQueue,
    pub(super) latency: Cell<LatencyEstimate>,
    lag: Cell<ReplicaLag>,
    health: Cell<TargetHealth>,
    probe_trust: Cell<ProbeTrust>,
    overload_control: Cell<OverloadControl>,
    is_marked_leaving: Cell<bool>,
    pub(super) cold: Cell<ColdPeriod>,
    pub(super) evacuated_since: Cell<Option<MonotonicTime>>,
    is_removed: Cell<bool>,
    is_probed: Cell<bool>,
    pub(super) forwarded: Cell<usize>,
    /// The effective slots that the metric shows.
    pub(super) shown_slots: Cell<usize>,
    pub(super) gateways: Cell<Option<GatewayPair>>,
    pub(super) gateway_load: Cell<Option<(GatewayLoad, MonotonicTime)>>,
    /// What is known of the load of all instances, for the placement of reads.
    pub(super) shared_load: Cell<TargetLoad>,
    pub(super) report_gate: Cell<ReportGate>,
}

impl TargetHandle {
    /// Creates the handle of a listed target.
    #[must_use]
    pub fn new(entry: TargetEntry) -> Self {
        Self {
            connections: ConnectionPool::new(),
            idle: IdleConnections::default(),
            waiting_watch: WaitingWatch::default(),
            queue: TargetQueue::new(entry.slots),
            shown_slots: Cell::new(entry.slots),
            entry: RefCell::new(Rc::new(entry)),
            latency: Cell::new(LatencyEstimate::default()),
            lag: Cell::new(ReplicaLag::default()),
            health: Cell::new(TargetHealth::default()),
            probe_trust: Cell::default(),
            overload_control: Cell::default(),
            is_marked_leaving: Cell::new(false),
            cold: Cell::default(),
            evacuated_since: Cell::new(None),
            is_removed: Cell::new(false),
            is_probed: Cell::new(false),
            forwarded: Cell::new(0),
            gateways: Cell::new(None),
            gateway_load: Cell::new(None),
            shared_load: Cell::new(TargetLoad::default()),
            report_gate: Cell::new(ReportGate::default()),
        }
    }

    /// Returns the target's ID.
    #[must_use]
    pub fn id(&self) -> TargetId {
        self.entry.borrow().target.clone()
    }

    /// Returns the target's entry in the platform's list.
    #[must_use]
    pub fn entry(&self) -> Rc<TargetEntry> {
        Rc::clone(&self.entry.borrow())
    }

    /// Applies a changed entry. Closes idle connections if the target has moved or restarted.
    pub fn update(&self, entry: TargetEntry) {
        let (moved, restarted, has_other_slots) = {
            let known = self.entry.borrow();
            (
                known.address != entry.address,
                known.born_ms != entry.born_ms,
                known.slots != entry.slots,
            )
        };
        if moved || restarted || has_other_slots {
            self.reset_capacity(entry.slots);
        }
        self.entry.replace(Rc::new(entry));
        self.is_marked_leaving.set(false);
        if moved || restarted {
            self.connections.close_idle();
            self.health.set(TargetHealth::default());
            self.probe_trust.set(ProbeTrust::default());
        }
    }

    /// Replaces an entry by one that was written again without a change of its state.
    pub fn refresh(&self, entry: TargetEntry) {
        self.entry.replace(Rc::new(entry));
    }

    /// Returns whether the target is leaving, according to its entry or to another instance.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.is_marked_leaving.get() || self.entry.borrow().is_leaving
    }

    /// Marks the target as leaving, as reported by another instance. A newer entry overrides it.
    pub fn mark_leaving(&self) {
        self.is_marked_leaving.set(true);
    }

    /// Sets since when the target's zone is evacuated, or `None` if it isn't.
    pub fn set_evacuated_since(&self, since: Option<MonotonicTime>) {
        self.evacuated_since.set(since);
    }

    /// Returns whether statements may be sent to the target, with regard to evacuated zones.
    #[must_use]
    pub fn target_use(&self, now: MonotonicTime) -> TargetUse {
        TargetUse::at(self.evacuated_since.get(), now)
    }

    /// Marks the target as removed. Connections in use are closed when their lease ends.
    pub fn remove(&self, now: MonotonicTime) {
        self.is_removed.set(true);
        self.connections.close_idle();
        self.queue.reject_all(now);
    }

    /// Returns whether the target was removed.
    #[must_use]
    pub fn is_removed(&self) -> bool {
        self.is_removed.get()
    }

    /// Sets the maximum number of connections from this instance.
    pub fn set_limit(&self, limit: usize, now: MonotonicTime) {
        self.connections.set_limit(limit, now);
    }

    /// Returns the target's health.
    #[must_use]
    pub fn health(&self) -> TargetHealth {
        self.health.get()
    }

    /// Returns the typical latency, as reported by the gateway or else as measured here.
    #[must_use]
    pub fn typical_latency(&self, now: MonotonicTime) -> Duration {
        match self.gateway_load(now) {
            Some(load) => load.typical_latency(),
            None => self.latency.get().typical(now),
        }
    }

    /// Returns the number of statements of this instance that run at the target or are queued for
    /// it, here or at its gateway.
    #[must_use]
    pub fn load(&self) -> usize {
        self.queue.load() + self.forwarded.get()
    }

    /// Returns whether the customer has an idle connection.
    #[must_use]
    pub fn has_idle(&self, request: &ConnectionRequest) -> bool {
        self.connections.has_idle(&request.customer)
    }

    /// Returns the slot time that a request is expected to occupy at the target.
    #[must_use]
    pub fn expected_cost(&self, request: &ConnectionRequest) -> SlotCost {
        self.queue.cost_of(request, self.has_idle(request))
    }

    /// Sets whether overload control is in force on this instance.
    pub fn set_overload_control(&self, overload_control: OverloadControl) {
        self.overload_control.set(overload_control);
        if !overload_control.is_on() {
            self.reset_capacity(self.entry().slots);
        }
    }

    /// Returns whether overload control is in force.
    pub(super) const fn is_overload_controlled(&self) -> bool {
        self.overload_control.get().is_on()
    }

    /// Returns whether the target fails statements although it answers probes.
    #[must_use]
    pub fn is_distrusted(&self) -> bool {
        self.overload_control.get().is_on() && self.probe_trust.get().is_distrusted()
    }

    /// Records a response to a caller's statement.
    pub fn record_served_statement(&self) {
        let mut trust = self.probe_trust.get();
        trust.record_served_statement();
        self.probe_trust.set(trust);
    }

    /// Records that a caller's statement sent at `sent_at` got no response.
    pub fn record_lost_statement(&self, sent_at: MonotonicTime) {
        let mut trust = self.probe_trust.get();
        let is_new = trust.record_lost_statement(sent_at);
        self.probe_trust.set(trust);
        if !self.is_distrusted() {
            return;
        }
        let mut health = self.health.get();
        let is_first = health.mark_failing(sent_at);
        self.health.set(health);
        if is_first {
            self.connections.close_idle();
            self.queue.reject_all(sent_at);
        }
        if is_new {
            metrics::counter!("resident_distrusted_targets_total").increment(1);
            event::TARGET_DISTRUSTED.log(format_args!("target={}", self.id()));
        }
    }

    /// Records a response to a probe. Returns whether it puts the target back into service.
    pub fn record_probe_response(&self, position: Option<LogPosition>, now: MonotonicTime) -> bool {
        let mut trust = self.probe_trust.get();
        let is_accepted = trust.accept_probe(now);
        self.probe_trust.set(trust);
        if is_accepted || !self.overload_control.get().is_on() {
            self.set_responding(position, now);
            return true;
        }
        false
    }

    /// Records a response; an error response counts as well. A distrusted target stays failing
    /// until it has served a statement or is tried again.
    pub fn record_response(&self, position: Option<LogPosition>, now: MonotonicTime) {
        let mut trust = self.probe_trust.get();
        trust.record_sign_of_life(now);
        self.probe_trust.set(trust);
        if !(self.is_distrusted() && self.health.get().is_failing()) {
            self.set_responding(position, now);
        }
    }

    fn set_responding(&self, position: Option<LogPosition>, now: MonotonicTime) {
        let mut health = self.health.get();
        health.record_response(position, now);
        self.health.set(health);
    }

    /// Records the latency of a completed statement; beyond `slow_after` it counts as slow.
    pub(super) fn record_latency(
        &self,
        elapsed: Duration,
        slow_after: Duration,
        now: MonotonicTime,
    ) {
        let mut latency = self.latency.get();
        latency.record(elapsed, now);
        self.latency.set(latency);
        self.queue.record_response(elapsed, slow_after, now);
    }

    /// Records that the target refused a statement because it is busy.
    pub(super) fn record_busy(&self, now: MonotonicTime) {
        self.queue.record_busy(self.typical_latency(now), now);
        self.record_shed(now);
    }

    /// Records a failure that began at `since`. Returns whether this marks the target as failing.
    pub fn record_failure(&self, since: MonotonicTime, is_refused: bool) -> bool {
        let mut health = self.health.get();
        let is_first = health.record_failure(since, is_refused);
        self.health.set(health);
        if is_first {
            self.connections.close_idle();
            self.queue.reject_all(since);
        }
        is_first
    }

    /// Records that the target has applied all writes acknowledged before `covered_until`.
    pub fn record_lag(&self, covered_until: MonotonicTime, now: MonotonicTime) {
        let mut lag = self.lag.get();
        lag.record(covered_until, now);
        self.lag.set(lag);
    }

    /// Records that a read with a maximum age of `age` was placed on this target.
    pub fn record_read_placed(&self, age: Duration, now: MonotonicTime) {
        let mut lag = self.lag.get();
        let was_due = lag.may_serve(age, now);
        if was_due {
            lag.record_attempt(now);
            self.lag.set(lag);
        }
    }

    /// Returns whether the target is expected to be recent enough for reads with this maximum age.
    #[must_use]
    pub fn meets_max_age(&self, age: Duration, now: MonotonicTime) -> bool {
        self.lag.get().may_serve(age, now)
    }

    /// Records that the target reported a missing log position.
    pub fn record_missing_position(&self, now: MonotonicTime) {
        let mut health = self.health.get();
        health.record_missing_position(now);
        self.health.set(health);
    }

    /// Marks the target as being probed. Returns `false` if a probe is already running.
    pub fn begin_probe(&self) -> bool {
        !self.is_probed.replace(true)
    }

    /// Marks the probe of the target as finished.
    pub fn end_probe(&self) {
        self.is_probed.set(false);
    }

    /// Counts a statement that starts at the target.
    pub(super) fn begin_statement(&self) {
        self.queue.begin_statement();
    }

    /// Counts a statement that has ended at the target, and grants the free slot.
    pub(super) fn end_statement(&self, now: MonotonicTime) {
        self.queue.end_statement();
        self.grant_waiting(now);
    }

    /// Releases the slot reserved for a lease. Its running statements are counted separately.
    pub(super) fn release_reservation(&self) {
        self.queue.release_reservation();
    }

    /// Waits for a slot and leases a connection, opening one if none is idle.
    ///
    /// # Errors
    ///
    /// Returns an error if no slot is expected in time, or the target can't be reached.
    pub async fn acquire_lease<W: SessionCodec>(
        self: &Rc<Self>,
        request: &ConnectionRequest,
        clock: &BootClock,
    ) -> Result<TargetLease, ConnectionError> {
        let now = clock.now();
        self.check_use(request, now)?;
        self.connections.record_use(&request.customer, now);
        // Only the cost estimates of overload control need it.
        let has_idle = request.weight.is_some() && self.has_idle(request);
        let immediate = self.queue.is_empty().then(|| self.try_grant(request, now));
        let grant = match immediate.flatten() {
            Some(grant) => {
                self.queue.record_demand(request, has_idle, now);
                grant
            }
            None => {
                self.watch_waiting(request, *clock);
                self.wait_for_grant(request, (has_idle, now), clock).await?
            }
        };
        let lease = match grant {
            ConnectionGrant::Idle(connection) => TargetLease::new(Rc::clone(self), *connection),
            ConnectionGrant::Open => self.open_connection::<W>(request, clock).await?,
        };
        Ok(lease.work(LeasedWork::of(request)))
    }

    async fn wait_for_grant(
        &self,
        request: &ConnectionRequest,
        (has_idle, now): (bool, MonotonicTime),
        clock: &BootClock,
    ) -> Result<ConnectionGrant, ConnectionError> {
        let (ticket, grant) = self.queue.push(request, has_idle, now).map_err(|after| {
            count_refusal(request, "queue_full");
            ConnectionError::Full(after)
        })?;
        // If nothing is running, no later event would grant this session a slot.
        self.grant_waiting(now);
        let grant = timeout(request.wait, grant).await;
        record_wait("turn", now, clock);
        let left_at = clock.now();
        record_queue_wait(request, left_at.saturating_since(now));
        match grant {
            Ok(Ok(Ok(grant))) => Ok(grant),
            Ok(Ok(Err((cause, retry_after)))) => {
                count_refusal(request, cause.label());
                Err(ConnectionError::Full(retry_after))
            }
            Ok(Err(_)) if self.is_removed() || self.health().is_failing() => {
                Err(ConnectionError::Dissolved)
            }
            Ok(Err(_)) => {
                self.check_use(request, left_at)?;
                Err(ConnectionError::Full(LATE_RETRY_DELAY))
            }
            Err(_) => {
                self.queue.cancel(&ticket);
                count_refusal(request, "deadline_passed");
                let retry_after = self.queue.retry_delay(request, left_at);
                Err(ConnectionError::Full(
                    retry_after.unwrap_or(LATE_RETRY_DELAY),
                ))
            }
        }
    }

    /// Reserves a slot together with an idle or a new connection.
    fn try_grant(
        &self,
        request: &ConnectionRequest,
        now: MonotonicTime,
    ) -> Option<ConnectionGrant> {
        if !self.queue.has_free_slot(now) {
            return None;
        }
        let idle = self
            .connections
            .take_idle(&request.customer, request.session, now);
        let grant = match idle {
            Some(connection) => ConnectionGrant::Idle(Box::new(connection)),
            None if self.reserve_connection(request, now) => ConnectionGrant::Open,
            None => return None,
        };
        self.queue.reserve_slot();
        Some(grant)
    }

    /// Grants free slots and connections to the waiting sessions.
    pub(super) fn grant_waiting(&self, now: MonotonicTime) {
        while self.queue.has_free_slot(now) && self.has_connection_for_waiting(now) {
            let Some((customer, waiter)) = self.queue.pop(now) else {
                return;
            };
            let request = ConnectionRequest {
                customer,
                session: waiter.session,
                wait: Duration::ZERO,
                priority: RoutePriority::HIGHEST,
                kind: WorkKind::Read,
                weight: None,
                homes: None,
            };
            let Some(grant) = self.try_grant(&request, now) else {
                return;
            };
            if let Err(Ok(unused)) = waiter.grant.send(Ok(grant)) {
                self.queue.release_reservation();
                match unused {
                    ConnectionGrant::Idle(connection) => self.connections.add_idle(*connection),
                    ConnectionGrant::Open => self.connections.record_closed(),
                }
            }
        }
    }

    async fn open_connection<W: SessionCodec>(
        self: &Rc<Self>,
        request: &ConnectionRequest,
        clock: &BootClock,
    ) -> Result<TargetLease, ConnectionError> {
        let entry = self.entry();
        let since = clock.now();
        let opened = TargetConnection::open::<W>(&entry, &request.customer, OPEN_TIMEOUT).await;
        let now = clock.now();
        match opened {
            Ok((mut connection, reply)) => {
                connection.hold = Some(self.idle.hold(&request.customer));
                self.record_response(reply.position, now);
                metrics::counter!("resident_connections_opened_total").increment(1);
                self.queue.record_opening(now.saturating_since(since));
                metrics::histogram!("resident_target_seconds", "kind" => "open")
                    .record(now.saturating_since(since).as_secs_f64());
                Ok(TargetLease::new(Rc::clone(self), connection))
            }
            Err(error) => {
                self.release_reservation();
                if matches!(
                    error,
                    ConnectionError::TurnedAway(TargetFault::TooManyConnections)
                ) {
                    self.reduce_limit(now, *clock);
                }
                self.record_closed(now);
                if error.is_failure() || error.is_refusal() {
                    self.record_failure(since, error.is_refusal());
                }
                Err(error)
            }
        }
    }

    /// Reduces the connection limit for a while after the target reported too many connections.
    /// A target counts connections that a crashed process left open until it detects the crash.
    fn reduce_limit(self: &Rc<Self>, now: MonotonicTime, clock: BootClock) {
        if self
            .connections
            .reduce_limit(now + TOO_MANY_CONNECTIONS_DELAY, now)
        {
            let target = Rc::clone(self);
            spawn_local(async move {
                sleep(TOO_MANY_CONNECTIONS_DELAY).await;
                target.grant_waiting(clock.now());
            });
        }
    }

    /// Returns a connection to the pool, or closes it if the target has failed or was removed.
    pub(super) fn return_connection(&self, connection: TargetConnection, now: MonotonicTime) {
        if self.is_removed.get() || self.health.get().is_failing() {
            self.record_closed(now);
            return;
        }
        self.connections.add_idle(connection);
        self.grant_waiting(now);
    }

    /// Records that a connection was closed, and grants the free capacity to waiting sessions.
    pub(super) fn record_closed(&self, now: MonotonicTime) {
        self.connections.record_closed();
        self.grant_waiting(now);
    }
}
