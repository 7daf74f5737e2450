//! The gateway's side: takes forwarded statements and runs them at its targets.

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
use crate::node::{DrainPhase, NodeState};
use crate::seam::SessionWire;

/// Answers that an instance may leave unread; one that reads nothing is cut off.
const MAX_UNSENT_FRAMES: usize = 2_048;
/// Room for a few usual frames.
const BUFFER_BYTES: usize = 1_024;
/// How often transactions that rest are looked at.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// The instance that forwards ends a resting transaction itself; this much later it is taken for
/// lost.
const IDLE_MARGIN: Duration = Duration::from_secs(1);
/// How long a transaction may rest where the configuration sets no limit.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Serves one instance that forwards, after the preface of its connection.
pub(crate) async fn serve_forwards<W: SessionWire>(node: Rc<NodeState>, mut stream: TcpStream) {
    let from = stream
        .peer_addr()
        .map_or_else(|_| "?".to_owned(), |from| from.to_string());
    let Ok(incarnation) = stream.read_u64_le().await else {
        return;
    };
    if let Err(error) = stream.set_nodelay(true) {
        return log::debug!("instance that forwards left at once: {error}");
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

async fn read_frames<W: SessionWire>(
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

/// Tells the instance of a planned stop, and gives up transactions that rest for too long;
/// ends if it reads nothing.
async fn monitor(session: &Rc<OriginSession>) {
    let mut drain = session.node().follow_drain();
    let mut checks = interval(CHECK_INTERVAL);
    checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut has_notified = false;
    loop {
        let phase = *drain.borrow_and_update();
        if phase != DrainPhase::Serving && !has_notified {
            has_notified = true;
            session.send(GatewayFrame::Leaving);
        }
        if phase == DrainPhase::Ending {
            session.expire_transactions(Duration::ZERO);
        }
        tokio::select! {
            _ = checks.tick() => {
                let limit = session.node().plan().transaction_rest();
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
