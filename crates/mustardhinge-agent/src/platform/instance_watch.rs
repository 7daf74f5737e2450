use std::sync::Arc;
use std::time::Duration;

use super::{PlatformClient, watch_backoff::WatchBackoff};
use crate::state::SharedState;

/// Long-poll wait of one watch call for the list of instances.
const LIST_WAIT: Duration = Duration::from_secs(10);

/// Watches the list of instances in a loop.
pub(crate) async fn watch_instances(client: PlatformClient, state: Arc<SharedState>) {
    let mut backoff = WatchBackoff::default();
    let mut after = 0;
    loop {
        match client.watch_instances(after, LIST_WAIT).await {
            Ok(list) => {
                backoff.reset();
                after = list.revision;
                state.apply_instances(list);
            }
            Err(error) => {
                let delay = backoff.next_delay(&error, &mut rand::rng());
                tokio::time::sleep(delay).await;
            }
        }
    }
}
