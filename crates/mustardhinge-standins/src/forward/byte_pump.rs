use std::io;
use std::net::IpAddr;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::sync::{mpsc, watch};

use super::ForwardDelays;
use super::precise_timer::PreciseTimer;
use crate::fault::{LinkFault, LinkGate};

/// The most that is read at once, in bytes.
const CHUNK_BYTES: usize = 16 * 1024;
/// The chunks that are under way at most, so that a slow reader slows the writer.
const CHUNKS_UNDER_WAY: usize = 64;

/// Passes bytes one way, each after the delay.
pub(super) struct BytePump {
    pub(super) gate: LinkGate,
    pub(super) delays: watch::Receiver<ForwardDelays>,
    pub(super) peer: IpAddr,
}

impl BytePump {
    /// Runs until `source` ends and everything has been passed on.
    pub(super) async fn run(
        self,
        source: impl AsyncRead + Unpin,
        sink: impl AsyncWrite + Unpin,
    ) -> io::Result<()> {
        let (sender, receiver) = mpsc::channel(CHUNKS_UNDER_WAY);
        let read = read_chunks(source, sender);
        tokio::try_join!(read, self.write_chunks(sink, receiver))?;
        Ok(())
    }

    async fn write_chunks(
        mut self,
        mut sink: impl AsyncWrite + Unpin,
        mut chunks: mpsc::Receiver<(Instant, Bytes)>,
    ) -> io::Result<()> {
        while let Some((read_at, chunk)) = chunks.recv().await {
            PreciseTimer::wait_until(read_at + self.delay()).await;
            match self.gate.pass().await {
                Ok(()) => sink.write_all(&chunk).await?,
                Err(LinkFault::Silent) => {}
                Err(fault) => return Err(io::Error::other(fault)),
            }
        }
        sink.shutdown().await
    }

    fn delay(&self) -> Duration {
        self.delays.borrow().delay_of(self.peer)
    }
}

async fn read_chunks(
    mut source: impl AsyncRead + Unpin,
    chunks: mpsc::Sender<(Instant, Bytes)>,
) -> io::Result<()> {
    let mut buffer = BytesMut::new();
    loop {
        buffer.reserve(CHUNK_BYTES);
        if source.read_buf(&mut buffer).await? == 0 {
            return Ok(());
        }
        let chunk = buffer.split().freeze();
        if chunks.send((Instant::now(), chunk)).await.is_err() {
            return Ok(());
        }
    }
}
