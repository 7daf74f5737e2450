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

use super::forward_session::ForwardSession;
use super::{FrameCodec, GatewayFrame};
use crate::adapter::SessionCodec;
use crate::node::{DrainPhase, NodeState};

/// Answers that an instance may leave unread; one that reads nothing is cut off.
const MOST_UNREAD: usize = 2_048;
/// Room for a few usual frames.
const BUFFER_BYTES: usize = 1_024;
/// How often transactions that rest are looked at.
const LOOK_EVERY: Duration = Duration::from_secs(1);
/// The instance that forwards ends a resting transaction itself; this much later it is taken for
/// lost.
const REST_MARGIN: Duration = Duration::from_secs(1);
/// How long a transaction may rest where the configuration sets no limit.
const MOST_REST: Duration = Duration::from_secs(30);

/// Serves one instance that forwards, after the preface of its connection.
pub(crate) async fn serve_forwards<W: SessionCodec>(node: Rc<NodeState>, mut stream: TcpStream) {
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
    let (out, frames) = mpsc::unbounded_channel();
    let session = Rc::new(ForwardSession::new(node, incarnation, out));
    let end = tokio::select! {
        end = read_frames::<W>(&session, input) => end,
        end = write_frames(&session, output, frames) => end,
        () = watch(&session) => "too many answers unread".to_owned(),
    };
    let (open, running) = session.close();
    event::FORWARDER_LEFT.log(format_args!(
        "from={from} transactions={open} running={running} cause={end:?}"
    ));
}

async fn read_frames<W: SessionCodec>(
    session: &Rc<ForwardSession>,
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
                Ok(Some(frame)) => session.take_frame::<W>(frame),
                Ok(None) => break,
                Err(error) => return error.to_string(),
            }
        }
    }
}

async fn write_frames(
    session: &Rc<ForwardSession>,
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
        session.wrote(count);
    }
    "finished".to_owned()
}

/// Tells the instance of a planned stop, and gives up transactions that rest for too long;
/// ends if it reads nothing.
async fn watch(session: &Rc<ForwardSession>) {
    let mut drain = session.node().subscribe_drain();
    let mut looks = interval(LOOK_EVERY);
    looks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut told = false;
    loop {
        let phase = *drain.borrow_and_update();
        if phase != DrainPhase::Serving && !told {
            told = true;
            session.push(GatewayFrame::Leaving);
        }
        if phase == DrainPhase::Ending {
            session.end_transactions(Duration::ZERO);
        }
        tokio::select! {
            _ = looks.tick() => {
                let limit = session.node().plan().transaction_idle_timeout();
                let limit = if limit.is_zero() { MOST_REST } else { limit + REST_MARGIN };
                session.end_transactions(limit);
                if session.unread() > MOST_UNREAD {
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
