use std::future::Future;
use std::time::Duration;

use mustardhinge_core::prelude::ZoneId;
use mustardhinge_core::primary_lease::{RecordRevision, StoreEra};

use super::{PlatformError, PromotionOutcome, PromotionRequest, WatchResponse, WriteOutcome};
use crate::control::StoreEras;
use crate::plan::{ServingPlan, TargetEntry};

/// Client of the platform: its object store, and its call to promote a target.
pub trait PlatformClient: 'static {
    /// Reads the latest configuration. Returns `None` for it if none was stored yet.
    fn read_plan(
        &self,
    ) -> impl Future<Output = Result<(Option<ServingPlan>, RecordRevision), PlatformError>>;

    /// Waits for a configuration later than `revision`. Without any, the store responds
    /// after `wait`. Fails if there is no response soon after that.
    fn watch_plan(
        &self,
        revision: RecordRevision,
        wait: Duration,
    ) -> impl Future<Output = Result<WatchResponse<ServingPlan>, PlatformError>>;

    /// Decodes a configuration relayed by another instance.
    ///
    /// # Errors
    ///
    /// Returns an error that names the invalid part.
    fn decode_plan(&self, source: &[u8]) -> Result<ServingPlan, PlatformError>;

    /// Lists the targets.
    fn list_targets(
        &self,
    ) -> impl Future<Output = Result<(Vec<TargetEntry>, RecordRevision), PlatformError>>;

    /// Waits for changes of targets later than `revision`. Without any, the store responds
    /// after `wait`. Fails if there is no response soon after that.
    fn watch_targets(
        &self,
        revision: RecordRevision,
        wait: Duration,
    ) -> impl Future<Output = Result<WatchResponse<TargetEntry>, PlatformError>>;

    /// Lists the zones that are to be evacuated. Called only if the settings allow evacuations.
    fn list_evacuations(
        &self,
    ) -> impl Future<Output = Result<(Vec<ZoneId>, RecordRevision), PlatformError>>;

    /// Waits for changes of evacuations later than `revision`. Without any, the store responds
    /// after `wait`. Fails if there is no response soon after that.
    fn watch_evacuations(
        &self,
        revision: RecordRevision,
        wait: Duration,
    ) -> impl Future<Output = Result<WatchResponse<ZoneId>, PlatformError>>;

    /// Reads one of the proxy's own records.
    fn read_record(
        &self,
        name: &str,
    ) -> impl Future<Output = Result<Option<(RecordRevision, serde_json::Value)>, PlatformError>>;

    /// Writes one of the proxy's own records if its revision is `expected`, or if it doesn't exist
    /// and `expected` is `None`.
    fn write_record(
        &self,
        name: &str,
        body: serde_json::Value,
        expected: Option<RecordRevision>,
    ) -> impl Future<Output = WriteOutcome>;

    /// Returns the eras seen. The client passes the era of each response to
    /// [`StoreEras::accept`], fails the call if that fails, and sends no revision that is outdated
    /// by them.
    fn store_eras(&self) -> &StoreEras;

    /// Returns the newest era of the store that was seen, or `None` before the first response.
    fn store_era(&self) -> Option<StoreEra> {
        self.store_eras().newest().get()
    }

    /// Records an era that another instance has seen.
    fn observe_store_era(&self, era: StoreEra) {
        self.store_eras().observe(era);
    }

    /// Requests the promotion of a target to the primary of its group.
    fn promote(&self, request: &PromotionRequest) -> impl Future<Output = PromotionOutcome>;
}
