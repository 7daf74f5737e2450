use std::sync::Arc;

use super::DocumentWriter;
use crate::group::WatchRegistry;
use crate::platform::PlatformClient;
use crate::state::SharedState;

/// What the endpoints work with.
pub(crate) struct OperatorContext {
    /// What the agent knows.
    pub(crate) state: Arc<SharedState>,
    /// The platform.
    pub(crate) platform: PlatformClient,
    /// The watches of database groups.
    pub(crate) registry: Arc<WatchRegistry>,
}

impl OperatorContext {
    /// Returns the writer of documents.
    pub(super) fn writer(&self) -> DocumentWriter<'_> {
        DocumentWriter::new(&self.state, &self.platform)
    }
}
