use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use mustardhinge_core::gateway::GatewayPair;
use mustardhinge_core::placement::{ReplicaLag, ServiceMeter};
use mustardhinge_core::prelude::{LogPosition, MonotonicTime, TargetId};
use mustardhinge_process::BootClock;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use super::link_pool::LinkPool;
use super::target_line::{LinkTurn, TargetLine};
use super::{LinkError, LinkLease, LinkNeed, TargetHealth, TargetLink};
use crate::adapter::{SessionCodec, TargetFault};
use crate::gateway::GatewayLoad;
use crate::node::record_wait;
use crate::plan::TargetEntry;

/// Longest time to open a connection: a dozen times the usual.
const OPEN_LIMIT: Duration = Duration::from_millis(300);
/// Pause before a connection is opened again at a target that has too many; it counts those of
/// dead processes for about three seconds.
const CROWDED_PAUSE: Duration = Duration::from_millis(100);
/// When to come back if the line was left without an answer.
const LATE_RETRY: Duration = Duration::from_millis(150);

/// One target: its connections and what is known of it.
#[derive(Debug)]
pub struct TargetHandle {
    entry: RefCell<Rc<TargetEntry>>,
    links: LinkPool,
    pub(super) line: TargetLine,
    pub(super) meter: Cell<ServiceMeter>,
    lag: Cell<ReplicaLag>,
    health: Cell<TargetHealth>,
    is_told_leaving: Cell<bool>,
    is_gone: Cell<bool>,
    is_probed: Cell<bool>,
    pub(super) forwarded: Cell<usize>,
    pub(super) gateways: Cell<Option<GatewayPair>>,
    pub(super) gateway_load: Cell<Option<(GatewayLoad, MonotonicTime)>>,
}

impl TargetHandle {
    /// Makes the handle of a listed target.
    #[must_use]
    pub fn new(entry: TargetEntry) -> Self {
        Self {
            links: LinkPool::new(),
            line: TargetLine::new(entry.slots),
            entry: RefCell::new(Rc::new(entry)),
            meter: Cell::new(ServiceMeter::default()),
            lag: Cell::new(ReplicaLag::default()),
            health: Cell::new(TargetHealth::default()),
            is_told_leaving: Cell::new(false),
            is_gone: Cell::new(false),
            is_probed: Cell::new(false),
            forwarded: Cell::new(0),
            gateways: Cell::new(None),
            gateway_load: Cell::new(None),
        }
    }

    /// Returns the target's name.
    #[must_use]
    pub fn id(&self) -> TargetId {
        self.entry.borrow().target.clone()
    }

    /// Returns the entry in the platform's list.
    #[must_use]
    pub fn entry(&self) -> Rc<TargetEntry> {
        Rc::clone(&self.entry.borrow())
    }

    /// Takes a changed entry; connections to another life or address are dropped.
    pub fn update(&self, entry: TargetEntry) {
        let (moved, reborn) = {
            let known = self.entry.borrow();
            (
                known.address != entry.address,
                known.born_ms != entry.born_ms,
            )
        };
        self.entry.replace(Rc::new(entry));
        self.is_told_leaving.set(false);
        if moved || reborn {
            self.links.close_idle();
            self.health.set(TargetHealth::default());
        }
    }

    /// Returns whether it is leaving, by its entry or by the word of another instance.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.is_told_leaving.get() || self.entry.borrow().is_leaving
    }

    /// Takes the word of another instance that it is leaving; a newer entry overrides it.
    pub fn tell_leaving(&self) {
        self.is_told_leaving.set(true);
    }

    /// Marks the target as gone: its connections are closed as they come back.
    pub fn retire(&self, now: MonotonicTime) {
        self.is_gone.set(true);
        self.links.close_idle();
        self.line.dissolve(now);
    }

    /// Returns whether the target is gone.
    #[must_use]
    pub fn is_gone(&self) -> bool {
        self.is_gone.get()
    }

    /// Sets how many connections this instance may have.
    pub fn set_limit(&self, limit: usize, now: MonotonicTime) {
        self.links.set_limit(limit, now);
    }

    /// Returns what is known of its health.
    #[must_use]
    pub fn health(&self) -> TargetHealth {
        self.health.get()
    }

    /// Returns its usual answer time.
    #[must_use]
    pub fn usual(&self, now: MonotonicTime) -> Duration {
        match self.gateway_load(now) {
            Some(load) => load.usual_time(),
            None => self.meter.get().usual(now),
        }
    }

    /// Returns how many statements of this instance it works on, or wait for it here or at its
    /// gateway.
    #[must_use]
    pub fn load(&self) -> usize {
        self.line.load() + self.forwarded.get()
    }

    /// Returns whether a connection for the customer lies idle.
    #[must_use]
    pub fn has_idle(&self, need: &LinkNeed) -> bool {
        self.links.has_idle(&need.customer)
    }

    /// Takes an answer, whatever it says.
    pub fn note_answer(&self, position: Option<LogPosition>, now: MonotonicTime) {
        let mut health = self.health.get();
        health.answered(position, now);
        self.health.set(health);
    }

    /// Takes the time of a statement that ran, of which up to `patience` is well.
    pub(super) fn note_service(&self, took: Duration, patience: Duration, now: MonotonicTime) {
        let mut meter = self.meter.get();
        meter.measure(took, now);
        self.meter.set(meter);
        self.line.note_answer(took, patience, now);
    }

    /// Takes that it turned a statement away, being full.
    pub(super) fn note_full(&self, now: MonotonicTime) {
        self.line.note_full(self.usual(now), now);
    }

    /// Takes a failure that began at `since`. Returns whether it is the first.
    pub fn note_failure(&self, since: MonotonicTime, refused: bool) -> bool {
        let mut health = self.health.get();
        let is_first = health.failed(since, refused);
        self.health.set(health);
        if is_first {
            self.links.close_idle();
            self.line.dissolve(since);
        }
        is_first
    }

    /// Takes that it holds all that was acknowledged before `covered_until`.
    pub fn note_lag(&self, covered_until: MonotonicTime, now: MonotonicTime) {
        let mut lag = self.lag.get();
        lag.note(covered_until, now);
        self.lag.set(lag);
    }

    /// Takes that a read which may be `age` old was placed here.
    pub fn note_placed(&self, age: Duration, now: MonotonicTime) {
        let mut lag = self.lag.get();
        let was_due = lag.may_serve(age, now);
        if was_due {
            lag.note_tried(now);
            self.lag.set(lag);
        }
    }

    /// Returns whether it should hold what reads that may be `age` old have to see.
    #[must_use]
    pub fn is_recent(&self, age: Duration, now: MonotonicTime) -> bool {
        self.lag.get().may_serve(age, now)
    }

    /// Takes the word that it lacks a position.
    pub fn note_behind(&self, now: MonotonicTime) {
        let mut health = self.health.get();
        health.lacked_position(now);
        self.health.set(health);
    }

    /// Marks it as being probed. Returns whether it was not before.
    pub fn begin_probe(&self) -> bool {
        !self.is_probed.replace(true)
    }

    /// Marks it as no longer being probed.
    pub fn end_probe(&self) {
        self.is_probed.set(false);
    }

    /// Counts a statement that it begins to work on.
    pub(super) fn begin_work(&self) {
        self.line.begin_work();
    }

    /// Counts a statement that it no longer works on.
    pub(super) fn end_work(&self, now: MonotonicTime) {
        self.line.end_work();
        self.give_turns(now);
    }

    /// Counts the turn of a lease as used: what it runs from now on counts by itself.
    pub(super) fn end_turn(&self) {
        self.line.end_grant();
    }

    /// Borrows a connection when it is the session's turn, opening one if need be.
    ///
    /// # Errors
    ///
    /// Fails if the turn can't come in time, or the target can't be reached.
    pub async fn borrow_link<W: SessionCodec>(
        self: &Rc<Self>,
        need: &LinkNeed,
        clock: &BootClock,
    ) -> Result<LinkLease, LinkError> {
        let now = clock.now();
        self.links.note_use(&need.customer, now);
        let at_once = self.line.is_empty().then(|| self.take_turn(need, now));
        let turn = match at_once.flatten() {
            Some(turn) => turn,
            None => self.await_turn(need, now, clock).await?,
        };
        match turn {
            LinkTurn::Idle(link) => Ok(LinkLease::new(Rc::clone(self), *link)),
            LinkTurn::Open => self.open_link::<W>(need, clock).await,
        }
    }

    async fn await_turn(
        &self,
        need: &LinkNeed,
        now: MonotonicTime,
        clock: &BootClock,
    ) -> Result<LinkTurn, LinkError> {
        let (ticket, turn) = self.line.enter(need, now).map_err(LinkError::Full)?;
        // Nothing that runs might end and give a turn later.
        self.give_turns(now);
        let turn = timeout(need.wait, turn).await;
        record_wait("turn", now, clock);
        match turn {
            Ok(Ok(turn)) => Ok(turn),
            Ok(Err(_)) if self.is_gone() || self.health().is_failing() => Err(LinkError::Dissolved),
            Ok(Err(_)) => Err(LinkError::Full(LATE_RETRY)),
            Err(_) => {
                self.line.leave(&ticket);
                Err(LinkError::Full(LATE_RETRY))
            }
        }
    }

    /// Takes a slot and a connection, or room for one.
    fn take_turn(&self, need: &LinkNeed, now: MonotonicTime) -> Option<LinkTurn> {
        if !self.line.has_slot() {
            return None;
        }
        let idle = self.links.take(&need.customer, need.session, now);
        let turn = match idle {
            Some(link) => LinkTurn::Idle(Box::new(link)),
            None if self.links.reserve(now) => LinkTurn::Open,
            None => return None,
        };
        self.line.grant();
        Some(turn)
    }

    /// Gives free slots and connections to those whose turn it is.
    fn give_turns(&self, now: MonotonicTime) {
        while self.line.has_slot() && self.links.has_room(now) {
            let Some((customer, waiter)) = self.line.next(now) else {
                return;
            };
            let need = LinkNeed {
                customer,
                session: waiter.session,
                wait: Duration::ZERO,
            };
            let Some(turn) = self.take_turn(&need, now) else {
                return;
            };
            if let Err(unused) = waiter.turn.send(turn) {
                self.line.end_grant();
                match unused {
                    LinkTurn::Idle(link) => self.links.give_back(*link),
                    LinkTurn::Open => self.links.note_closed(),
                }
            }
        }
    }

    async fn open_link<W: SessionCodec>(
        self: &Rc<Self>,
        need: &LinkNeed,
        clock: &BootClock,
    ) -> Result<LinkLease, LinkError> {
        let entry = self.entry();
        let since = clock.now();
        let opened = TargetLink::open::<W>(&entry, &need.customer, OPEN_LIMIT).await;
        let now = clock.now();
        match opened {
            Ok((link, reply)) => {
                self.note_answer(reply.position, now);
                metrics::counter!("resident_connections_opened_total").increment(1);
                metrics::histogram!("resident_target_seconds", "kind" => "open")
                    .record(now.saturating_since(since).as_secs_f64());
                Ok(LinkLease::new(Rc::clone(self), link))
            }
            Err(error) => {
                self.end_turn();
                if matches!(
                    error,
                    LinkError::TurnedAway(TargetFault::TooManyConnections)
                ) {
                    self.note_crowded(now, *clock);
                }
                self.forget_link(now);
                if error.is_failure() || error.is_refusal() {
                    self.note_failure(since, error.is_refusal());
                }
                Err(error)
            }
        }
    }

    /// Takes that the target has too many connections: those of processes that ended without
    /// closing them count until it finds out.
    fn note_crowded(self: &Rc<Self>, now: MonotonicTime, clock: BootClock) {
        if self.links.note_crowded(now + CROWDED_PAUSE, now) {
            let target = Rc::clone(self);
            spawn_local(async move {
                sleep(CROWDED_PAUSE).await;
                target.give_turns(clock.now());
            });
        }
    }

    /// Takes a connection back.
    pub(super) fn return_link(&self, link: TargetLink, now: MonotonicTime) {
        if self.is_gone.get() || self.health.get().is_failing() {
            self.forget_link(now);
            return;
        }
        self.links.give_back(link);
        self.give_turns(now);
    }

    /// Counts a connection as closed.
    pub(super) fn forget_link(&self, now: MonotonicTime) {
        self.links.note_closed();
        self.give_turns(now);
    }
}
