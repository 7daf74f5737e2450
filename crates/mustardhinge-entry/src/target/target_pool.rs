use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use mustardhinge_core::prelude::*;
use mustardhinge_core::queue::{
    FairQueue, PopOutcome, PushOutcome, QueueLimits, QueueRefusal, QueueTicket, SlotLimiter,
    WaitingItem,
};
use mustardhinge_process::ProcessClock;
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::{PoolRefusal, PoolSettings, TargetConnection, TargetLease};

/// Query that validates an idle connection.
const VALIDATION_QUERY: &str = "SELECT 1";

/// Cost of a statement in the fair queue.
const STATEMENT_COST: u32 = 1;

/// Result for a waiting request: a slot, or the refusal.
type SlotResult = Result<(), (RefusalReason, RetryDelay)>;

/// Sends the result to a waiting request.
type SlotSender = oneshot::Sender<SlotResult>;

/// Queue ticket of a waiting request and the receiver of its result.
type QueuedRequest = (QueueTicket, oneshot::Receiver<SlotResult>);

/// Connection pool of one target, with a fair queue of the waiting requests.
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
    queue: FairQueue<SlotSender>,
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
            queue: FairQueue::new(limits),
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

    /// Acquires a connection, waiting in the fair queue for a free slot.
    ///
    /// # Errors
    ///
    /// Returns an error if the queue refuses the request or no connection can be
    /// opened. In both cases nothing was sent.
    pub async fn acquire(
        self: &Arc<Self>,
        customer: &CustomerId,
        deadline: MonotonicTime,
    ) -> Result<TargetLease, PoolRefusal> {
        self.wait_for_slot(customer, deadline).await?;
        let mut lease = TargetLease::new(Arc::clone(self), self.clock.now());
        let connection = self.connect().await?;
        lease.set_connection(connection);
        Ok(lease)
    }

    async fn wait_for_slot(
        self: &Arc<Self>,
        customer: &CustomerId,
        deadline: MonotonicTime,
    ) -> Result<(), PoolRefusal> {
        let Some((ticket, slot)) = self.enter_queue(customer, deadline)? else {
            return Ok(());
        };
        let mut waiting = QueueGuard {
            pool: self,
            ticket: Some(ticket),
            slot,
        };
        let max_wait = deadline.saturating_since(self.clock.now());
        match timeout(max_wait, &mut waiting.slot).await {
            Ok(Ok(granted)) => {
                waiting.ticket = None;
                granted.map_err(|(reason, retry_after)| PoolRefusal::Queue {
                    reason,
                    retry_after,
                })
            }
            Ok(Err(_)) | Err(_) => Err(self.deadline_refusal()),
        }
    }

    /// Acquires a slot at once and returns `None`, or joins the queue.
    fn enter_queue(
        &self,
        customer: &CustomerId,
        deadline: MonotonicTime,
    ) -> Result<Option<QueuedRequest>, PoolRefusal> {
        let now = self.clock.now();
        let mut state = self.lock();
        if state.queue.is_empty() && state.slot_limiter.try_acquire() {
            return Ok(None);
        }
        let (reply, slot) = oneshot::channel();
        let arrival = WaitingItem {
            customer: customer.clone(),
            deadline,
            cost: STATEMENT_COST,
            item: reply,
        };
        match state.queue.push(arrival, now) {
            PushOutcome::Queued { ticket, displaced } => {
                displaced.into_iter().for_each(refuse_waiting);
                Ok(Some((ticket, slot)))
            }
            PushOutcome::Refused(refusal) => Err(PoolRefusal::Queue {
                reason: refusal.reason,
                retry_after: refusal.retry_after,
            }),
        }
    }

    fn deadline_refusal(&self) -> PoolRefusal {
        PoolRefusal::Queue {
            reason: RefusalReason::DeadlinePassed,
            retry_after: RetryDelay::new(self.settings.get_connect_timeout()),
        }
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
        Ok(TargetConnection::open(self.address, database, max_wait, now).await?)
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

    pub(super) fn release_slot(&self, acquired_at: MonotonicTime) {
        let now = self.clock.now();
        let mut state = self.lock();
        state
            .queue
            .record_service(STATEMENT_COST, now.saturating_since(acquired_at));
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
    ticket: Option<QueueTicket>,
    slot: oneshot::Receiver<SlotResult>,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        let Some(ticket) = self.ticket.take() else {
            return;
        };
        let was_waiting = self.pool.lock().queue.cancel(&ticket).is_some();
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
