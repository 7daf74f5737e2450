use std::sync::Arc;
use std::time::Duration;

use mustardhinge_core::membership::IntakeState;
use mustardhinge_core::prelude::*;
use mustardhinge_process::event;
use pgwire::messages::startup::{Authentication, BackendKeyData, ParameterStatus, Startup};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use super::EntryShared;
use crate::caller::{
    CallerKey, StartupOutcome, StartupParameters, StartupPhase, protocol_error, read_parameters,
    unknown_service,
};
use crate::control::ServiceRuntime;
use crate::serve::{CallerSession, CallerStream};
use crate::wire::{ErrorReply, FrameError, FrameStream};

/// Delay after accepting a connection failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Maximum time for which input is discarded after the last response, so that the
/// caller receives it.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// Server version reported to clients.
const SERVER_VERSION: &str = "16.0 (mustardhinge)";

/// Accepts callers and runs a task for each.
#[derive(Clone)]
pub(super) struct CallerListener {
    pub(super) shared: Arc<EntryShared>,
    pub(super) phase: StartupPhase,
    pub(super) startup_timeout: Duration,
    pub(super) max_callers: usize,
}

impl CallerListener {
    /// Accepts connections until a planned stop closes the listener, and serves them until
    /// the task is dropped. Dropping it also aborts the tasks of the callers.
    pub(super) async fn run(self, listener: TcpListener) {
        let mut callers = JoinSet::new();
        loop {
            tokio::select! {
                () = self.shared.wait_for_closed_intake() => break,
                accepted = listener.accept() => match accepted {
                    Ok((tcp, _)) => self.spawn_session(tcp, &mut callers),
                    Err(error) => {
                        let cause = error.to_string();
                        event::CALLER_NOT_ACCEPTED.log(format_args!("error={cause:?}"));
                        sleep(ACCEPT_RETRY_DELAY).await;
                    }
                },
                Some(_) = callers.join_next() => {}
            }
        }
        if let Err(error) = self.accept_queued(listener, &mut callers) {
            let cause = error.to_string();
            event::CALLER_NOT_ACCEPTED.log(format_args!("error={cause:?}"));
        }
        self.shared.set_intake(IntakeState::Closed);
        while callers.join_next().await.is_some() {}
    }

    /// Accepts the callers that the operating system has connected, and closes the
    /// listener. Closing it alone would reset their connections.
    fn accept_queued(
        &self,
        listener: TcpListener,
        callers: &mut JoinSet<()>,
    ) -> std::io::Result<()> {
        let listener = listener.into_std()?;
        for _ in 0..self.max_callers {
            match listener.accept() {
                Ok((tcp, _)) => {
                    tcp.set_nonblocking(true)?;
                    self.spawn_session(TcpStream::from_std(tcp)?, callers);
                }
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => break,
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    fn spawn_session(&self, tcp: TcpStream, callers: &mut JoinSet<()>) {
        let Some(count) = self.shared.try_register(self.max_callers) else {
            let limit = self.max_callers;
            event::CALLER_NOT_ACCEPTED.log(format_args!("max_callers={limit}"));
            return;
        };
        let _ = tcp.set_nodelay(true);
        let listener = self.clone();
        callers.spawn(async move {
            let _ = listener.serve(tcp).await;
            drop(count);
        });
    }

    async fn serve(self, tcp: TcpStream) -> Result<(), FrameError> {
        let negotiated = timeout(self.startup_timeout, self.phase.negotiate(tcp)).await;
        match negotiated.map_err(|_| FrameError::Closed)?? {
            StartupOutcome::Cancel(key) => {
                self.shared.cancels.cancel(&key).await;
                Ok(())
            }
            StartupOutcome::Plain(startup, stream) => self.serve_stream(&startup, stream).await,
            StartupOutcome::Tls(startup, stream) => self.serve_stream(&startup, *stream).await,
        }
    }

    async fn serve_stream<S: CallerStream>(
        self,
        startup: &Startup,
        mut stream: FrameStream<S>,
    ) -> Result<(), FrameError> {
        let opened = timeout(self.startup_timeout, self.identify(startup, &mut stream)).await;
        let (parameters, identity, max_bytes) = match opened.map_err(|_| FrameError::Closed)? {
            Ok(opened) => opened,
            Err(reply) => {
                stream.queue_message(&reply.to_message())?;
                stream.flush().await?;
                return linger(stream).await;
            }
        };
        stream.limit_frames(max_bytes);
        let shared = Arc::clone(&self.shared);
        let mut session = CallerSession::new(shared, stream, parameters, identity, max_bytes);
        finish_startup(&mut session).await?;
        let violation = session.serve().await.err().filter(is_protocol_violation);
        let mut stream = session.into_stream();
        if let Some(error) = violation {
            stream.queue_message(&protocol_error(&error).to_message())?;
            stream.flush().await?;
        }
        linger(stream).await
    }

    /// Authenticates the caller. Returns the error for the caller on failure.
    async fn identify<S: CallerStream>(
        &self,
        startup: &Startup,
        stream: &mut FrameStream<S>,
    ) -> Result<(StartupParameters, Identity, usize), ErrorReply> {
        let parameters = read_parameters(startup)?;
        let key = self.phase.request_key(stream).await;
        let key = key.map_err(|error| protocol_error(&error))?;
        if self.shared.is_draining() {
            let reason = RefusalReason::InstanceDraining;
            let retry_after = Some(RetryDelay::new(Duration::ZERO));
            let message = "this instance is leaving; connect again";
            return Err(ErrorReply::not_run(reason, retry_after, message).fatal());
        }
        let service = self
            .shared
            .service(&parameters.service)
            .ok_or_else(|| unknown_service(parameters.service.as_str()))?;
        let customer = find_customer(&service, key.as_ref())?;
        let max_bytes = service.document().limits.max_statement_bytes;
        let max_bytes = usize::try_from(max_bytes).unwrap_or(usize::MAX);
        Ok((parameters, (key, customer), max_bytes))
    }
}

type Identity = (Option<CallerKey>, Option<CustomerId>);

/// Returns the customer of a key, or `None` for a caller without a key.
fn find_customer(
    service: &ServiceRuntime,
    key: Option<&CallerKey>,
) -> Result<Option<CustomerId>, ErrorReply> {
    let Some(key) = key else {
        return Ok(None);
    };
    match service.keys().find_customer(key.digest()) {
        Some(customer) => Ok(Some(customer.clone())),
        None => {
            let reason = RefusalReason::KeyRejected;
            metrics::counter!("mustardhinge_refusals_total", "reason" => reason.label())
                .increment(1);
            Err(ErrorReply::not_run(reason, None, "the key is unknown").fatal())
        }
    }
}

fn is_protocol_violation(error: &FrameError) -> bool {
    matches!(error, FrameError::Malformed(_) | FrameError::TooLong { .. })
}

async fn finish_startup<S: CallerStream>(session: &mut CallerSession<S>) -> Result<(), FrameError> {
    let key = session.cancel_slot().key();
    let stream = session.stream();
    stream.queue_message(&Authentication::Ok)?;
    let parameters = [
        ("server_version", SERVER_VERSION),
        ("server_encoding", "UTF8"),
        ("client_encoding", "UTF8"),
        ("DateStyle", "ISO, MDY"),
        ("integer_datetimes", "on"),
        ("standard_conforming_strings", "on"),
    ];
    for (name, value) in parameters {
        stream.queue_message(&ParameterStatus::new(name.to_owned(), value.to_owned()))?;
    }
    stream.queue_message(&BackendKeyData::new(key.pid, key.secret))?;
    session.queue_first_ready()?;
    session.stream().flush().await
}

/// Shuts down the write side and discards input until the caller closes the
/// connection or the timeout passes.
///
/// Closing a connection with unread input would reset it, and the caller could lose
/// the last response.
async fn linger<S: CallerStream>(stream: FrameStream<S>) -> Result<(), FrameError> {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let mut inner = stream.into_inner();
    inner.shutdown().await?;
    let mut rest = [0; 1024];
    let drained = async { while inner.read(&mut rest).await.is_ok_and(|read| read > 0) {} };
    let _ = timeout(LINGER_TIMEOUT, drained).await;
    Ok(())
}
