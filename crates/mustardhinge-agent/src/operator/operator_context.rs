use std::sync::Arc;

use super::DocumentWriter;
use crate::group::WatchRegistry;
use crate::platform::PlatformClient;
use crate::state::SharedState;

/// Dependencies of the endpoints.
pub(crate) struct OperatorContext {
    /// The state of the agent.
    pub(crate) state: Arc<SharedState>,
    /// Client of the platform.
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
