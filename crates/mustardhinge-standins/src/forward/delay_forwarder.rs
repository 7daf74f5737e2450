use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::byte_pump::BytePump;
use super::{ForwardDelays, ForwardHandle};
use crate::fault::{LinkFaults, LinkGate};

/// Forwards TCP connections to one server, with delays and faults.
#[derive(Debug)]
pub struct DelayForwarder {
    listener: TcpListener,
    upstream: SocketAddr,
    shared: Arc<ForwardShared>,
    tasks: TaskTracker,
    stop: CancellationToken,
}

/// What the tasks of one forwarder share.
#[derive(Debug, Default)]
pub(super) struct ForwardShared {
    pub(super) delays: watch::Sender<ForwardDelays>,
    pub(super) link_faults: watch::Sender<LinkFaults>,
    pub(super) accepted: watch::Sender<u64>,
}

impl DelayForwarder {
    /// Starts to forward from `listen` to `upstream`, without delay.
    ///
    /// # Errors
    ///
    /// Fails if `listen` can't be listened on.
    pub async fn start(listen: SocketAddr, upstream: SocketAddr) -> io::Result<ForwardHandle> {
        let listener = TcpListener::bind(listen).await?;
        let handle = ForwardHandle {
            address: listener.local_addr()?,
            shared: Arc::default(),
            stop: CancellationToken::new(),
            tasks: TaskTracker::new(),
        };
        let forwarder = Self {
            listener,
            upstream,
            shared: Arc::clone(&handle.shared),
            tasks: handle.tasks.clone(),
            stop: handle.stop.clone(),
        };
        handle.tasks.spawn(forwarder.accept_connections());
        Ok(handle)
    }

    async fn accept_connections(self) {
        let stop = self.stop.clone();
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                Ok((stream, peer)) = self.listener.accept() => self.take(stream, peer.ip()),
            }
        }
    }

    fn take(&self, stream: TcpStream, peer: IpAddr) {
        self.shared.accepted.send_modify(|count| *count += 1);
        let number = *self.shared.accepted.borrow();
        let gate = LinkGate::new(self.shared.link_faults.subscribe(), peer, number);
        let mut down_gate = gate.clone();
        let pump = || BytePump {
            gate: gate.clone(),
            delays: self.shared.delays.subscribe(),
            peer,
        };
        // Failing to set these costs time, or the kind of the end, only.
        let _ = stream.set_nodelay(true);
        let _ = stream.set_zero_linger();
        let forward = forward(stream, self.upstream, pump(), pump());
        let stop = self.stop.clone();
        self.tasks.spawn(async move {
            tokio::select! {
                () = stop.cancelled() => {}
                () = down_gate.wait_for_down() => {}
                // Both ends see the connection close.
                _ = forward => {}
            }
        });
    }
}

async fn forward(
    client: TcpStream,
    upstream: SocketAddr,
    to_server: BytePump,
    to_client: BytePump,
) -> io::Result<()> {
    let mut gate = to_server.gate.clone();
    gate.pass().await.map_err(io::Error::other)?;
    let server = TcpStream::connect(upstream).await?;
    server.set_nodelay(true)?;
    let (client_source, client_sink) = client.into_split();
    let (server_source, server_sink) = server.into_split();
    let to_server = to_server.run(client_source, server_sink);
    let to_client = to_client.run(server_source, client_sink);
    tokio::try_join!(to_server, to_client)?;
    Ok(())
}
