use std::rc::Rc;
use std::time::Duration;

use bytes::{BufMut, BytesMut};
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;
use tokio::time::{MissedTickBehavior, interval, timeout};

use super::{FORWARD_PREFACE, FrameCodec, GatewayFrame, GatewayPeer, OriginFrame};

/// Timeout for connecting to a gateway in the same region; many round trips.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Interval between health checks of a gateway with pending responses.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Initial buffer capacity; enough for a few typical frames.
const BUFFER_BYTES: usize = 1_024;

/// Reason why a connection to a gateway ended.
#[derive(Debug, Error)]
pub(super) enum ConnectionEnd {
    /// The connection was not opened, so nothing was sent.
    #[error("could not connect: {0}")]
    NotOpened(String),
    /// The connection broke.
    #[error("connection broken: {0}")]
    Broken(String),
    /// Nothing was received for too long.
    #[error("gateway unresponsive")]
    Silent,
}

/// Connects to a gateway and exchanges frames until the connection ends. `number` is that of the
/// connection.
pub(super) async fn run_connection(
    peer: Rc<GatewayPeer>,
    number: u64,
    frames: mpsc::UnboundedReceiver<OriginFrame>,
) {
    let end = match timeout(CONNECT_TIMEOUT, TcpStream::connect(peer.address())).await {
        Ok(Ok(stream)) => exchange_frames(&peer, stream, frames).await,
        Ok(Err(error)) => ConnectionEnd::NotOpened(error.to_string()),
        Err(_) => ConnectionEnd::NotOpened("connection timed out".to_owned()),
    };
    peer.handle_disconnect(number, &end);
}

async fn exchange_frames(
    peer: &Rc<GatewayPeer>,
    stream: TcpStream,
    frames: mpsc::UnboundedReceiver<OriginFrame>,
) -> ConnectionEnd {
    if let Err(error) = stream.set_nodelay(true) {
        return ConnectionEnd::NotOpened(error.to_string());
    }
    let (input, output) = stream.into_split();
    tokio::select! {
        end = write_frames(peer.incarnation(), output, frames) => end,
        end = read_frames(peer, input) => end,
        end = monitor(peer) => end,
    }
}

async fn write_frames(
    incarnation: u64,
    mut output: OwnedWriteHalf,
    mut frames: mpsc::UnboundedReceiver<OriginFrame>,
) -> ConnectionEnd {
    let mut codec = FrameCodec::default();
    let mut buffer = BytesMut::with_capacity(BUFFER_BYTES);
    buffer.put_slice(&FORWARD_PREFACE);
    buffer.put_u64_le(incarnation);
    while let Some(frame) = frames.recv().await {
        let mut next = Some(frame);
        while let Some(frame) = next {
            if let Err(error) = codec.write(&frame, &mut buffer) {
                return ConnectionEnd::Broken(error.to_string());
            }
            next = frames.try_recv().ok();
        }
        if let Err(error) = output.write_all(&buffer).await {
            return ConnectionEnd::Broken(error.to_string());
        }
        buffer.clear();
    }
    ConnectionEnd::Broken("no longer a gateway".to_owned())
}

async fn read_frames(peer: &Rc<GatewayPeer>, mut input: OwnedReadHalf) -> ConnectionEnd {
    let mut codec = FrameCodec::default();
    let mut buffer = BytesMut::with_capacity(BUFFER_BYTES);
    loop {
        match input.read_buf(&mut buffer).await {
            Ok(0) => return ConnectionEnd::Broken("closed by the gateway".to_owned()),
            Ok(_) => {}
            Err(error) => return ConnectionEnd::Broken(error.to_string()),
        }
        loop {
            match codec.read(&mut buffer) {
                Ok(Some(frame)) => handle_frame(peer, frame),
                Ok(None) => break,
                Err(error) => return ConnectionEnd::Broken(error.to_string()),
            }
        }
        peer.record_received();
    }
}

fn handle_frame(peer: &GatewayPeer, frame: GatewayFrame) {
    match frame {
        GatewayFrame::Answer {
            number,
            load,
            answer,
        } => peer.complete(number, answer, load),
        GatewayFrame::Pong => {}
        GatewayFrame::Leaving => peer.mark_stopping(),
        GatewayFrame::Zone(zone) => peer.record_zone(zone),
    }
}

async fn monitor(peer: &Rc<GatewayPeer>) -> ConnectionEnd {
    let mut checks = interval(CHECK_INTERVAL);
    checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        peer.wait_for_pending().await;
        checks.tick().await;
        if peer.check_health() {
            return ConnectionEnd::Silent;
        }
    }
}
