use std::time::Duration;

/// The timeouts and intervals of a failover machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailoverSettings {
    refused_limit: Duration,
    unresponsive_limit: Duration,
    contested_limit: Duration,
    stall_limit: Duration,
    repair_limit: Duration,
    pause_limit: Duration,
    delay_limit: Duration,
    rank_delay: Duration,
    claim_timeout: Duration,
    drain_timeout: Duration,
    catch_up_interval: Duration,
    step_timeout: Duration,
    resend_interval: Duration,
    straggler_wait: Duration,
    retry_backoff: Duration,
    publish_interval: Duration,
}

impl FailoverSettings {
    const DEFAULT_REFUSED_LIMIT: Duration = Duration::from_millis(60);
    const DEFAULT_UNRESPONSIVE_LIMIT: Duration = Duration::from_millis(300);
    const DEFAULT_CONTESTED_LIMIT: Duration = Duration::from_millis(2_000);
    const DEFAULT_STALL_LIMIT: Duration = Duration::from_millis(5_000);
    const DEFAULT_REPAIR_LIMIT: Duration = Duration::from_millis(1_000);
    const DEFAULT_PAUSE_LIMIT: Duration = Duration::from_millis(150);
    const DEFAULT_DELAY_LIMIT: Duration = Duration::from_millis(30);
    const DEFAULT_RANK_DELAY: Duration = Duration::from_millis(150);
    const DEFAULT_CLAIM_TIMEOUT: Duration = Duration::from_millis(50);
    const DEFAULT_DRAIN_TIMEOUT: Duration = Duration::from_millis(500);
    const DEFAULT_CATCH_UP_INTERVAL: Duration = Duration::from_millis(5);
    const DEFAULT_STEP_TIMEOUT: Duration = Duration::from_millis(400);
    const DEFAULT_RESEND_INTERVAL: Duration = Duration::from_millis(60);
    const DEFAULT_STRAGGLER_WAIT: Duration = Duration::from_millis(15);
    const DEFAULT_RETRY_BACKOFF: Duration = Duration::from_millis(100);
    const DEFAULT_PUBLISH_INTERVAL: Duration = Duration::from_millis(250);

    /// Creates the default settings.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            refused_limit: Self::DEFAULT_REFUSED_LIMIT,
            unresponsive_limit: Self::DEFAULT_UNRESPONSIVE_LIMIT,
            contested_limit: Self::DEFAULT_CONTESTED_LIMIT,
            stall_limit: Self::DEFAULT_STALL_LIMIT,
            repair_limit: Self::DEFAULT_REPAIR_LIMIT,
            pause_limit: Self::DEFAULT_PAUSE_LIMIT,
            delay_limit: Self::DEFAULT_DELAY_LIMIT,
            rank_delay: Self::DEFAULT_RANK_DELAY,
            claim_timeout: Self::DEFAULT_CLAIM_TIMEOUT,
            drain_timeout: Self::DEFAULT_DRAIN_TIMEOUT,
            catch_up_interval: Self::DEFAULT_CATCH_UP_INTERVAL,
            step_timeout: Self::DEFAULT_STEP_TIMEOUT,
            resend_interval: Self::DEFAULT_RESEND_INTERVAL,
            straggler_wait: Self::DEFAULT_STRAGGLER_WAIT,
            retry_backoff: Self::DEFAULT_RETRY_BACKOFF,
            publish_interval: Self::DEFAULT_PUBLISH_INTERVAL,
        }
    }

    /// Sets how long the primary's host refuses connections before the primary
    /// is suspected.
    #[must_use]
    pub const fn refused_limit(mut self, limit: Duration) -> Self {
        self.refused_limit = limit;
        self
    }

    /// Sets how long the primary is unresponsive before it is suspected.
    #[must_use]
    pub const fn unresponsive_limit(mut self, limit: Duration) -> Self {
        self.unresponsive_limit = limit;
        self
    }

    /// Sets how long the primary is unresponsive to this agent before it is
    /// suspected although it responds to another instance.
    #[must_use]
    pub const fn contested_limit(mut self, limit: Duration) -> Self {
        self.contested_limit = limit;
        self
    }

    /// Sets how long no replica receives the primary's log before the primary
    /// is suspected.
    #[must_use]
    pub const fn stall_limit(mut self, limit: Duration) -> Self {
        self.stall_limit = limit;
        self
    }

    /// Sets how long a server is stranded in a greater term, or the primary is
    /// leaving, before a new term starts.
    #[must_use]
    pub const fn repair_limit(mut self, limit: Duration) -> Self {
        self.repair_limit = limit;
        self
    }

    /// Sets the time between two events above which this process counts as
    /// paused and restarts its failure detection.
    #[must_use]
    pub const fn pause_limit(mut self, limit: Duration) -> Self {
        self.pause_limit = limit;
        self
    }

    /// Sets the time between two events above which the rest counts as a delay of
    /// this process, and not as silence of the primary; a few ticks.
    #[must_use]
    pub const fn delay_limit(mut self, limit: Duration) -> Self {
        self.delay_limit = limit;
        self
    }

    /// Sets how much later each agent acts than the agent with the next smaller
    /// rank.
    #[must_use]
    pub const fn rank_delay(mut self, delay: Duration) -> Self {
        self.rank_delay = delay;
        self
    }

    /// Sets the timeout of a claim in the store.
    #[must_use]
    pub const fn claim_timeout(mut self, timeout: Duration) -> Self {
        self.claim_timeout = timeout;
        self
    }

    /// Sets how long a planned change waits for in-flight writes to end and the
    /// successor to catch up.
    #[must_use]
    pub const fn drain_timeout(mut self, timeout: Duration) -> Self {
        self.drain_timeout = timeout;
        self
    }

    /// Sets the interval between checks whether the successor has caught up.
    #[must_use]
    pub const fn catch_up_interval(mut self, interval: Duration) -> Self {
        self.catch_up_interval = interval;
        self
    }

    /// Sets the timeout of a fence or a promotion.
    #[must_use]
    pub const fn step_timeout(mut self, timeout: Duration) -> Self {
        self.step_timeout = timeout;
        self
    }

    /// Sets the interval after which an unanswered call is resent.
    #[must_use]
    pub const fn resend_interval(mut self, interval: Duration) -> Self {
        self.resend_interval = interval;
        self
    }

    /// Sets how long a granted fence waits for a preferred server, such as one
    /// other than the suspected primary.
    #[must_use]
    pub const fn straggler_wait(mut self, wait: Duration) -> Self {
        self.straggler_wait = wait;
        self
    }

    /// Sets the minimum time that an agent waits after a failed attempt, for
    /// instance one that lost to another agent.
    #[must_use]
    pub const fn retry_backoff(mut self, wait: Duration) -> Self {
        self.retry_backoff = wait;
        self
    }

    /// Sets the interval after which a publication is resent.
    #[must_use]
    pub const fn publish_interval(mut self, interval: Duration) -> Self {
        self.publish_interval = interval;
        self
    }

    /// Returns how long the primary's host refuses connections before the
    /// primary is suspected.
    #[must_use]
    pub const fn get_refused_limit(&self) -> Duration {
        self.refused_limit
    }

    /// Returns how long the primary is unresponsive before it is suspected.
    #[must_use]
    pub const fn get_unresponsive_limit(&self) -> Duration {
        self.unresponsive_limit
    }

    /// Returns how long the primary is unresponsive to this agent before it is
    /// suspected although it responds to another instance.
    #[must_use]
    pub const fn get_contested_limit(&self) -> Duration {
        self.contested_limit
    }

    /// Returns how long no replica receives the primary's log before the
    /// primary is suspected.
    #[must_use]
    pub const fn get_stall_limit(&self) -> Duration {
        self.stall_limit
    }

    /// Returns how long a server is stranded in a greater term, or the primary
    /// is leaving, before a new term starts.
    #[must_use]
    pub const fn get_repair_limit(&self) -> Duration {
        self.repair_limit
    }

    /// Returns the time between two events above which this process counts as
    /// paused and restarts its failure detection.
    #[must_use]
    pub const fn get_pause_limit(&self) -> Duration {
        self.pause_limit
    }

    /// Returns the time between two events above which the rest counts as a delay
    /// of this process, and not as silence of the primary.
    #[must_use]
    pub const fn get_delay_limit(&self) -> Duration {
        self.delay_limit
    }

    /// Returns how much later each agent acts than the agent with the next
    /// smaller rank.
    #[must_use]
    pub const fn get_rank_delay(&self) -> Duration {
        self.rank_delay
    }

    /// Returns the timeout of a claim in the store.
    #[must_use]
    pub const fn get_claim_timeout(&self) -> Duration {
        self.claim_timeout
    }

    /// Returns how long a planned change waits for in-flight writes to end and
    /// the successor to catch up.
    #[must_use]
    pub const fn get_drain_timeout(&self) -> Duration {
        self.drain_timeout
    }

    /// Returns the interval between checks whether the successor has caught up.
    #[must_use]
    pub const fn get_catch_up_interval(&self) -> Duration {
        self.catch_up_interval
    }

    /// Returns the timeout of a fence or a promotion.
    #[must_use]
    pub const fn get_step_timeout(&self) -> Duration {
        self.step_timeout
    }

    /// Returns the interval after which an unanswered call is resent.
    #[must_use]
    pub const fn get_resend_interval(&self) -> Duration {
        self.resend_interval
    }

    /// Returns how long a granted fence waits for a preferred server, such as
    /// one other than the suspected primary.
    #[must_use]
    pub const fn get_straggler_wait(&self) -> Duration {
        self.straggler_wait
    }

    /// Returns the minimum time that an agent waits after a failed attempt, for
    /// instance one that lost to another agent.
    #[must_use]
    pub const fn get_retry_backoff(&self) -> Duration {
        self.retry_backoff
    }

    /// Returns the interval after which a publication is resent.
    #[must_use]
    pub const fn get_publish_interval(&self) -> Duration {
        self.publish_interval
    }
}

impl Default for FailoverSettings {
    fn default() -> Self {
        Self::new()
    }
}
