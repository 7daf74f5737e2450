use std::sync::Arc;
use std::time::Duration;

use super::{ObjectKind, PlatformClient, watch_backoff::WatchBackoff};
use crate::state::SharedState;

/// Long-poll wait of one watch call. Each response proves that the documents are
/// current.
pub(crate) const PROOF_WAIT: Duration = Duration::from_millis(400);

/// Watches the service documents in a loop.
pub(crate) async fn watch_documents(client: PlatformClient, state: Arc<SharedState>) {
    let mut backoff = WatchBackoff::default();
    loop {
        let requested_at = state.now();
        let after = state.known_revision();
        let response = client
            .watch_objects(ObjectKind::Service, after, PROOF_WAIT)
            .await;
        match response {
            Ok(list) => {
                backoff.reset();
                state.apply_documents(&list, requested_at);
            }
            Err(error) => {
                state.record_platform_failure(&error, requested_at);
                let delay = backoff.next_delay(&error, &mut rand::rng());
                tokio::time::sleep(delay).await;
            }
        }
    }
}
