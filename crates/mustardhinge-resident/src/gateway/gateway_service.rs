//! Gateway side of forwarding: receives statements from other instances and runs them at its
//! targets.

use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use mustardhinge_process::event;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;
use tokio::time::{MissedTickBehavior, interval};

use super::origin_session::OriginSession;
use super::{FrameCodec, GatewayFrame};
use crate::adapter::SessionCodec;
use crate::node::{DrainPhase, NodeState};

/// Maximum number of unsent response frames; an origin that doesn't read is disconnected.
const MAX_UNSENT_FRAMES: usize = 2_048;
/// Initial buffer capacity; enough for a few typical frames.
const BUFFER_BYTES: usize = 1_024;
/// Interval between checks for idle transactions and unsent frames.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Additional time before the gateway ends an idle transaction. The origin applies the idle limit
/// itself and is considered lost after this margin.
const IDLE_MARGIN: Duration = Duration::from_secs(1);
/// Idle limit of a transaction if the configuration sets none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Serves a connection from an origin, whose preface has already been read.
pub(crate) async fn serve_forwards<W: SessionCodec>(node: Rc<NodeState>, mut stream: TcpStream) {
    let from = stream
        .peer_addr()
        .map_or_else(|_| "?".to_owned(), |from| from.to_string());
    let Ok(incarnation) = stream.read_u64_le().await else {
        return;
    };
    if let Err(error) = stream.set_nodelay(true) {
        return log::debug!("forwarding instance disconnected immediately: {error}");
    }
    let (input, output) = stream.into_split();
    let (sender, frames) = mpsc::unbounded_channel();
    let session = Rc::new(OriginSession::new(node, incarnation, sender));
    let end = tokio::select! {
        end = read_frames::<W>(&session, input) => end,
        end = write_frames(&session, output, frames) => end,
        () = monitor(&session) => "too many answers unread".to_owned(),
    };
    let (transactions, running) = session.close();
    event::FORWARDER_LEFT.log(format_args!(
        "from={from} transactions={transactions} running={running} cause={end:?}"
    ));
}

async fn read_frames<W: SessionCodec>(
    session: &Rc<OriginSession>,
    mut input: OwnedReadHalf,
) -> String {
    let mut codec = FrameCodec::default();
    let mut buffer = BytesMut::with_capacity(BUFFER_BYTES);
    loop {
        match input.read_buf(&mut buffer).await {
            Ok(0) => return "closed".to_owned(),
            Ok(_) => {}
            Err(error) => return error.to_string(),
        }
        loop {
            match codec.read(&mut buffer) {
                Ok(Some(frame)) => session.handle_frame::<W>(frame),
                Ok(None) => break,
                Err(error) => return error.to_string(),
            }
        }
    }
}

async fn write_frames(
    session: &Rc<OriginSession>,
    mut output: OwnedWriteHalf,
    mut frames: mpsc::UnboundedReceiver<GatewayFrame>,
) -> String {
    let mut codec = FrameCodec::default();
    let mut buffer = BytesMut::with_capacity(BUFFER_BYTES);
    while let Some(frame) = frames.recv().await {
        let mut next = Some(frame);
        let mut count = 0;
        while let Some(frame) = next {
            count += 1;
            if let Err(error) = codec.write(&frame, &mut buffer) {
                return error.to_string();
            }
            next = frames.try_recv().ok();
        }
        if let Err(error) = output.write_all(&buffer).await {
            return error.to_string();
        }
        buffer.clear();
        session.record_written(count);
    }
    "finished".to_owned()
}

/// Notifies the origin of a planned stop, and abandons transactions that are idle for too long.
/// Returns if the origin doesn't read its responses.
async fn monitor(session: &Rc<OriginSession>) {
    let mut drain = session.node().subscribe_drain();
    let mut checks = interval(CHECK_INTERVAL);
    checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut has_notified = false;
    loop {
        let phase = *drain.borrow_and_update();
        if phase != DrainPhase::Serving && !has_notified {
            has_notified = true;
            session.send(GatewayFrame::Leaving);
        }
        if phase >= DrainPhase::Ending {
            session.expire_transactions(Duration::ZERO);
        }
        tokio::select! {
            _ = checks.tick() => {
                let limit = session.node().plan().transaction_idle_timeout();
                let limit = if limit.is_zero() {
                    DEFAULT_IDLE_TIMEOUT
                } else {
                    limit + IDLE_MARGIN
                };
                session.expire_transactions(limit);
                if session.unsent_frames() > MAX_UNSENT_FRAMES {
                    return;
                }
            }
            changed = drain.changed() => {
                if changed.is_err() {
                    return;
                }
            }
        }
    }
}
