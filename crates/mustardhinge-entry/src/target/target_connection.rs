use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use mustardhinge_core::prelude::*;
use pgwire::messages::response::{ErrorResponse, ReadyForQuery, TransactionStatus};
use pgwire::messages::simplequery::Query;
use pgwire::messages::startup::{BackendKeyData, Startup};
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::{CancelKey, ConnectionError};
use crate::wire::{FrameError, FrameStream, WireFrame, tags};

/// User name with which all instances connect to a target.
const TARGET_USER: &str = "mustardhinge";

/// Maximum size of a frame from a target, in bytes.
const MAX_TARGET_FRAME_BYTES: usize = 256 << 20;

/// Number of prepared statements at which a connection is closed after use.
const MAX_PREPARED: usize = 256;

/// Open connection to a target.
#[derive(Debug)]
pub struct TargetConnection {
    stream: FrameStream<TcpStream>,
    address: SocketAddr,
    cancel_key: Option<CancelKey>,
    prepared: HashSet<String>,
    should_close: bool,
    last_used: MonotonicTime,
}

impl TargetConnection {
    /// Opens a connection, waiting at most `max_wait`.
    ///
    /// # Errors
    ///
    /// Returns an error if the target is unreachable, refuses the connection or
    /// does not respond in time.
    pub async fn open(
        address: SocketAddr,
        database: &str,
        max_wait: Duration,
        now: MonotonicTime,
    ) -> Result<Self, ConnectionError> {
        let opening = Self::start_session(address, database, now);
        timeout(max_wait, opening)
            .await
            .map_err(|_| ConnectionError::TimedOut)?
    }

    async fn start_session(
        address: SocketAddr,
        database: &str,
        now: MonotonicTime,
    ) -> Result<Self, ConnectionError> {
        let tcp = TcpStream::connect(address).await?;
        tcp.set_nodelay(true)?;
        let mut connection = Self {
            stream: FrameStream::new(tcp, MAX_TARGET_FRAME_BYTES),
            address,
            cancel_key: None,
            prepared: HashSet::new(),
            should_close: false,
            last_used: now,
        };
        connection.send_startup(database).await?;
        connection.wait_until_ready().await?;
        Ok(connection)
    }

    async fn send_startup(&mut self, database: &str) -> Result<(), FrameError> {
        let mut startup = Startup::new();
        let parameters = [
            ("user", TARGET_USER),
            ("database", database),
            ("client_encoding", "UTF8"),
        ];
        for (name, value) in parameters {
            startup.parameters.insert(name.to_owned(), value.to_owned());
        }
        self.stream.queue_message(&startup)?;
        self.stream.flush().await
    }

    async fn wait_until_ready(&mut self) -> Result<(), ConnectionError> {
        loop {
            let frame = self.stream.read_frame().await?;
            match frame.tag() {
                tags::BACKEND_KEY_DATA => {
                    let data: BackendKeyData = frame.decode()?;
                    self.cancel_key = Some(CancelKey {
                        pid: data.pid,
                        secret: data.secret_key,
                    });
                }
                tags::ERROR_RESPONSE => {
                    let response: ErrorResponse = frame.decode()?;
                    return Err(ConnectionError::refused(&response));
                }
                tags::READY_FOR_QUERY => return Ok(()),
                _ => {}
            }
        }
    }

    /// Runs a statement of the proxy and returns the frames of the response, waiting
    /// at most `max_wait`.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails or the response times out. The
    /// connection must then be closed.
    pub async fn run_proxy_statement(
        &mut self,
        text: &str,
        max_wait: Duration,
    ) -> Result<Vec<WireFrame>, ConnectionError> {
        self.queue_query(text)?;
        timeout(max_wait, self.flush_and_read())
            .await
            .map_err(|_| ConnectionError::TimedOut)?
    }

    async fn flush_and_read(&mut self) -> Result<Vec<WireFrame>, ConnectionError> {
        self.stream.flush().await?;
        self.read_response().await
    }

    /// Reads the frames of one response, up to and including ReadyForQuery.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails.
    pub async fn read_response(&mut self) -> Result<Vec<WireFrame>, ConnectionError> {
        let mut frames = Vec::new();
        loop {
            let frame = self.stream.read_frame().await?;
            let is_last = frame.tag() == tags::READY_FOR_QUERY;
            frames.push(frame);
            if is_last {
                return Ok(frames);
            }
        }
    }

    /// Queues a simple query.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is longer than the protocol allows.
    pub fn queue_query(&mut self, text: &str) -> Result<(), FrameError> {
        self.stream.queue_message(&Query::new(text.to_owned()))
    }

    /// Returns the frame stream.
    pub fn stream(&mut self) -> &mut FrameStream<TcpStream> {
        &mut self.stream
    }

    /// Returns the key for cancelling the running statement, if the target sent
    /// one.
    #[must_use]
    pub fn cancel_key(&self) -> Option<&CancelKey> {
        self.cancel_key.as_ref()
    }

    /// Returns the address of the target.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the time of the last complete response.
    #[must_use]
    pub fn last_used(&self) -> MonotonicTime {
        self.last_used
    }

    /// Records the time of a complete response.
    pub fn mark_used(&mut self, now: MonotonicTime) {
        self.last_used = now;
    }

    /// Returns whether a statement with this name is prepared on the connection.
    #[must_use]
    pub fn has_prepared(&self, name: &str) -> bool {
        self.prepared.contains(name)
    }

    /// Records that a statement with this name is prepared on the connection.
    pub fn record_prepared(&mut self, name: &str) {
        self.prepared.insert(name.to_owned());
    }

    /// Marks the connection to be closed after use, because it is uncertain which
    /// statements are prepared on it.
    pub fn mark_for_close(&mut self) {
        self.should_close = true;
    }

    /// Returns whether the connection must be closed after use, because too many
    /// statements are prepared on it or it is uncertain which.
    #[must_use]
    pub fn should_close(&self) -> bool {
        self.should_close || self.prepared.len() >= MAX_PREPARED
    }
}

/// Returns the transaction status from a ReadyForQuery frame.
///
/// # Errors
///
/// Returns an error if the frame is not a valid ReadyForQuery.
pub(crate) fn transaction_status(frame: &WireFrame) -> Result<TransactionStatus, FrameError> {
    let ready: ReadyForQuery = frame.decode()?;
    Ok(ready.status)
}
