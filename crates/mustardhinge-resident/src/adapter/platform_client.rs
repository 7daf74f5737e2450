use std::future::Future;

use mustardhinge_core::primary_lease::RecordRevision;

use super::{PlatformError, PromotionOutcome, PromotionRequest, WatchResponse, WriteOutcome};
use crate::plan::{ServingPlan, TargetEntry};

/// What the platform keeps and does for the proxy.
pub trait PlatformClient: 'static {
    /// Reads the newest configuration; none if there is none yet.
    fn read_plan(
        &self,
    ) -> impl Future<Output = Result<(Option<ServingPlan>, RecordRevision), PlatformError>>;

    /// Waits for configurations after `revision`.
    fn watch_plan(
        &self,
        revision: RecordRevision,
    ) -> impl Future<Output = Result<WatchResponse<ServingPlan>, PlatformError>>;

    /// Decodes a configuration as another instance passed it on.
    ///
    /// # Errors
    ///
    /// Says what doesn't make sense.
    fn decode_plan(&self, source: &[u8]) -> Result<ServingPlan, PlatformError>;

    /// Lists the targets.
    fn list_targets(
        &self,
    ) -> impl Future<Output = Result<(Vec<TargetEntry>, RecordRevision), PlatformError>>;

    /// Waits for changes of targets after `revision`.
    fn watch_targets(
        &self,
        revision: RecordRevision,
    ) -> impl Future<Output = Result<WatchResponse<TargetEntry>, PlatformError>>;

    /// Reads a record of our own.
    fn read_record(
        &self,
        name: &str,
    ) -> impl Future<Output = Result<Option<(RecordRevision, serde_json::Value)>, PlatformError>>;

    /// Writes a record of our own if it still has the revision `expected`; with none, if
    /// there is no such record.
    fn write_record(
        &self,
        name: &str,
        body: serde_json::Value,
        expected: Option<RecordRevision>,
    ) -> impl Future<Output = WriteOutcome>;

    /// Makes a target the primary of its group.
    fn promote(&self, request: &PromotionRequest) -> impl Future<Output = PromotionOutcome>;
}
