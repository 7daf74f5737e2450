use std::net::SocketAddr;
use std::sync::Arc;

use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::replication::{apply_entries, follow_primaries};
use super::session::serve_connection;
use super::target_settings::TargetSettings;
use super::target_shared::TargetShared;
use super::{TargetBuilder, TargetHandle};

/// A small database server, one of a group.
///
/// # Examples
///
/// ```
/// use mustardhinge_standins::target::TargetServer;
///
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() -> std::io::Result<()> {
/// let target = TargetServer::builder("t-1").slots(2).start().await?;
/// assert_eq!(target.name(), "t-1");
/// target.shutdown().await;
/// # Ok(())
/// # }
/// ```
#[derive(Debug)]
pub struct TargetServer {
    listener: TcpListener,
    shared: Arc<TargetShared>,
    tasks: TaskTracker,
    stop: CancellationToken,
}

impl TargetServer {
    /// Starts to set up a target.
    #[must_use]
    pub fn builder(name: &str) -> TargetBuilder {
        TargetBuilder::new(name)
    }

    pub(super) async fn start(settings: TargetSettings) -> std::io::Result<TargetHandle> {
        let listener = TcpListener::bind(settings.listen).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(TargetShared::new(settings));
        let handle = TargetHandle {
            address,
            shared: Arc::clone(&shared),
            stop: CancellationToken::new(),
            tasks: TaskTracker::new(),
        };
        let server = Self {
            listener,
            shared: Arc::clone(&shared),
            tasks: handle.tasks.clone(),
            stop: handle.stop.clone(),
        };
        server.spawn(follow_primaries(Arc::clone(&shared), address.ip()));
        server.spawn(apply_entries(shared));
        let tasks = server.tasks.clone();
        tasks.spawn(server.accept_connections());
        Ok(handle)
    }

    async fn accept_connections(self) {
        let stop = self.stop.clone();
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                Ok((stream, peer)) = self.listener.accept() => self.take(stream, peer),
            }
        }
    }

    fn take(&self, stream: TcpStream, peer: SocketAddr) {
        self.shared.accepted.send_modify(|count| *count += 1);
        let number = *self.shared.accepted.borrow();
        if self.shared.link_faults.borrow().down {
            reset(&stream);
            return;
        }
        let shared = Arc::clone(&self.shared);
        self.spawn(serve_connection(shared, stream, peer.ip(), number));
    }

    /// Runs `task` until it ends or the target stops.
    fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let stop = self.stop.clone();
        self.tasks.spawn(async move {
            tokio::select! {
                () = stop.cancelled() => {}
                () = task => {}
            }
        });
    }
}

/// Makes the end of the connection a reset, once the stream is dropped.
fn reset(stream: &TcpStream) {
    // A stream that is closed already needs no reset.
    let _ = stream.set_zero_linger();
}
