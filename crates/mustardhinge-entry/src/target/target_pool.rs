use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use mustardhinge_core::prelude::*;
use mustardhinge_core::queue::{PopOutcome, QueueLimits, QueueRefusal, RetryJitter, SlotLimiter};
use mustardhinge_process::ProcessClock;
use rand::RngExt;
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::queue_metrics::{record_queue_wait, record_refusal};
use super::{
    LeasedWork, PoolRefusal, PoolSettings, QueuePlace, RequestQueue, SlotRequest, TargetConnection,
    TargetLease,
};

/// Query that validates an idle connection.
const VALIDATION_QUERY: &str = "SELECT 1";

/// Result for a waiting request: a slot, or the refusal.
type SlotResult = Result<(), (RefusalReason, RetryDelay)>;

/// Sends the result to a waiting request.
type SlotSender = oneshot::Sender<SlotResult>;

/// Place of a waiting request and the receiver of its result.
type QueuedRequest = (QueuePlace, oneshot::Receiver<SlotResult>);

/// Connection pool of one target, with a queue of the waiting requests.
#[derive(Debug)]
pub struct TargetPool {
    target: TargetId,
    address: SocketAddr,
    settings: PoolSettings,
    clock: ProcessClock,
    state: Mutex<PoolState>,
}

#[derive(Debug)]
struct PoolState {
    queue: RequestQueue<SlotSender>,
    slot_limiter: SlotLimiter,
    idle: Vec<TargetConnection>,
}

impl TargetPool {
    /// Creates a pool without open connections.
    #[must_use]
    pub fn new(
        target: TargetId,
        address: SocketAddr,
        settings: PoolSettings,
        clock: ProcessClock,
    ) -> Arc<Self> {
        let limits = QueueLimits::new().slots(settings.get_connections());
        let state = PoolState {
            queue: RequestQueue::new(limits),
            slot_limiter: SlotLimiter::new(settings.get_connections()),
            idle: Vec::new(),
        };
        Arc::new(Self {
            target,
            address,
            settings,
            clock,
            state: Mutex::new(state),
        })
    }

    /// Returns the target.
    #[must_use]
    pub fn target(&self) -> &TargetId {
        &self.target
    }

    /// Returns the address of the target.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of running and waiting statements, for routing.
    #[must_use]
    pub fn load(&self) -> u32 {
        let state = self.lock();
        let running = self.settings.get_connections() - state.slot_limiter.get_free();
        running + u32::try_from(state.queue.len()).unwrap_or(u32::MAX)
    }

    /// Returns the maximum number of concurrent statements.
    #[must_use]
    pub fn slots(&self) -> u32 {
        self.settings.get_connections()
    }

    /// Acquires a connection, waiting in the queue for a free slot.
    ///
    /// # Errors
    ///
    /// Returns an error if the queue refuses the request or no connection can be
    /// opened. In both cases nothing was sent.
    pub async fn acquire(
        self: &Arc<Self>,
        request: &SlotRequest,
    ) -> Result<TargetLease, PoolRefusal> {
        let arrived_at = self.clock.now();
        if let Err((reason, retry_after)) = self.wait_for_slot(request).await {
            let retry_after = spread_retry(request, retry_after);
            record_refusal(&self.target, request, (reason, retry_after));
            return Err(PoolRefusal::Queue {
                reason,
                retry_after,
            });
        }
        let now = self.clock.now();
        record_queue_wait(request, now.saturating_since(arrived_at));
        let mut lease = TargetLease::new(Arc::clone(self), now);
        let connection = self.connect().await?;
        lease.set_connection(connection);
        lease.set_work(LeasedWork::of(request, self.clock.now()));
        Ok(lease)
    }

    async fn wait_for_slot(self: &Arc<Self>, request: &SlotRequest) -> SlotResult {
        let Some((place, slot)) = self.enter_queue(request)? else {
            return Ok(());
        };
        let max_wait = place.wait_until.saturating_since(self.clock.now());
        let mut waiting = QueueGuard {
            pool: self,
            place: Some(place),
            slot,
        };
        match timeout(max_wait, &mut waiting.slot).await {
            Ok(Ok(granted)) => {
                waiting.place = None;
                granted
            }
            Ok(Err(_)) | Err(_) => Err(self.deadline_refusal(request)),
        }
    }

    /// Acquires a slot at once and returns `None`, or joins the queue.
    fn enter_queue(
        &self,
        request: &SlotRequest,
    ) -> Result<Option<QueuedRequest>, (RefusalReason, RetryDelay)> {
        let now = self.clock.now();
        let mut state = self.lock();
        if state.queue.is_empty() && state.slot_limiter.try_acquire() {
            let has_idle = !state.idle.is_empty();
            state.queue.record_direct(request, has_idle, now);
            return Ok(None);
        }
        let (reply, slot) = oneshot::channel();
        match state.queue.push(request, reply, now) {
            Ok((place, displaced)) => {
                displaced.into_iter().for_each(refuse_waiting);
                Ok(Some((place, slot)))
            }
            Err(refusal) => Err((refusal.reason, refusal.retry_after)),
        }
    }

    fn deadline_refusal(&self, request: &SlotRequest) -> (RefusalReason, RetryDelay) {
        let by_priority = self.lock().queue.retry_delay(request, self.clock.now());
        let fallback = || RetryDelay::new(self.settings.get_connect_timeout());
        let retry_after = by_priority.unwrap_or_else(fallback);
        (RefusalReason::DeadlinePassed, retry_after)
    }

    async fn connect(&self) -> Result<TargetConnection, PoolRefusal> {
        while let Some(mut connection) = self.take_idle() {
            if self.is_usable(&mut connection).await {
                return Ok(connection);
            }
        }
        let database = self.settings.get_database();
        let max_wait = self.settings.get_connect_timeout();
        let now = self.clock.now();
        let connection = TargetConnection::open(self.address, database, max_wait, now).await?;
        let elapsed = self.clock.now().saturating_since(now);
        self.lock().queue.record_opening(elapsed);
        Ok(connection)
    }

    async fn is_usable(&self, connection: &mut TargetConnection) -> bool {
        let idle = self.clock.now().saturating_since(connection.last_used());
        if idle < self.settings.get_validate_after() {
            return true;
        }
        let max_wait = self.settings.get_validation_timeout();
        connection
            .run_proxy_statement(VALIDATION_QUERY, max_wait)
            .await
            .is_ok()
    }

    fn take_idle(&self) -> Option<TargetConnection> {
        self.lock().idle.pop()
    }

    /// Opens a connection in advance if none is idle and a slot is free.
    ///
    /// # Errors
    ///
    /// Returns an error if no connection can be opened.
    pub async fn open_in_advance(self: &Arc<Self>) -> Result<(), PoolRefusal> {
        {
            let mut state = self.lock();
            if !state.idle.is_empty() || !state.slot_limiter.try_acquire() {
                return Ok(());
            }
        }
        let mut lease = TargetLease::new(Arc::clone(self), self.clock.now());
        let connection = self.connect().await?;
        lease.set_connection(connection);
        lease.release(self.clock.now());
        Ok(())
    }

    /// Closes the idle connections, for example after a response timed out.
    pub fn close_idle(&self) {
        self.lock().idle.clear();
    }

    pub(super) fn add_idle(&self, connection: TargetConnection) {
        self.lock().idle.push(connection);
    }

    pub(super) fn release_slot(&self, acquired_at: MonotonicTime, work: Option<LeasedWork>) {
        let now = self.clock.now();
        let mut state = self.lock();
        let elapsed = now.saturating_since(acquired_at);
        state.queue.record_service(elapsed);
        if let Some(work) = work {
            state.queue.record_work(work, now);
        }
        state.slot_limiter.release();
        state.admit_waiting(now);
    }

    fn lock(&self) -> MutexGuard<'_, PoolState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl PoolState {
    /// Grants free slots to the waiting requests.
    fn admit_waiting(&mut self, now: MonotonicTime) {
        while self.slot_limiter.try_acquire() {
            if !self.admit_next(now) {
                self.slot_limiter.release();
                return;
            }
        }
    }

    /// Grants a slot to the next waiting request; returns whether there was one.
    fn admit_next(&mut self, now: MonotonicTime) -> bool {
        while let Some(popped) = self.queue.pop(now) {
            match popped {
                PopOutcome::Expired(refusal) => refuse_waiting(refusal),
                PopOutcome::Ready(ready) => {
                    if ready.item.send(Ok(())).is_ok() {
                        return true;
                    }
                }
            }
        }
        false
    }
}

/// Queue entry of a waiting request; cancelled when it is dropped.
struct QueueGuard<'a> {
    pool: &'a Arc<TargetPool>,
    place: Option<QueuePlace>,
    slot: oneshot::Receiver<SlotResult>,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        let Some(place) = self.place.take() else {
            return;
        };
        let was_waiting = self.pool.lock().queue.cancel(&place).is_some();
        let was_granted = !was_waiting && matches!(self.slot.try_recv(), Ok(Ok(())));
        if was_granted {
            drop(TargetLease::new(
                Arc::clone(self.pool),
                self.pool.clock.now(),
            ));
        }
    }
}

fn refuse_waiting(refusal: QueueRefusal<SlotSender>) {
    let result = Err((refusal.reason, refusal.retry_after));
    let _ = refusal.refused.item.send(result);
}

/// Spreads the retry delay over callers where routes have different priorities, so that they don't
/// all return at the same moment.
fn spread_retry(request: &SlotRequest, retry_after: RetryDelay) -> RetryDelay {
    match request.weight {
        Some(_) => RetryJitter::spread(retry_after, request.priority, rand::rng().random()),
        None => retry_after,
    }
}
