use bytes::{Bytes, BytesMut};
use pgwire::messages::cancel::CancelRequest;
use pgwire::messages::startup::{Authentication, GssEncRequest, Password, SslRequest, Startup};
use pgwire::messages::{DecodeContext, Message, ProtocolVersion};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio_rustls::TlsAcceptor;
use tokio_rustls::server::TlsStream;

use super::{CallerKey, StartupParameters};
use crate::target::CancelKey;
use crate::wire::{ErrorReply, FrameError, FrameStream, tags};

/// Maximum size of a startup packet, in bytes.
const MAX_STARTUP_BYTES: usize = 10_000;

/// SQLSTATE of a protocol violation.
const PROTOCOL_SQLSTATE: &str = "08P01";

/// Result of the startup of a new connection.
#[derive(Debug)]
pub enum StartupOutcome {
    /// A caller on a plain TCP connection.
    Plain(Startup, FrameStream<TcpStream>),
    /// A caller on a TLS connection.
    Tls(Startup, Box<FrameStream<TlsStream<TcpStream>>>),
    /// A request to cancel the statement of another connection.
    Cancel(CancelKey),
}

/// Startup of a connection, before its first statement.
#[derive(Clone)]
pub struct StartupPhase {
    tls: Option<TlsAcceptor>,
}

impl StartupPhase {
    /// Creates the startup phase. Without `tls`, requests for encryption are
    /// declined.
    #[must_use]
    pub fn new(tls: Option<TlsAcceptor>) -> Self {
        Self { tls }
    }

    /// Negotiates encryption and reads the startup packet.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller violates the protocol or disconnects.
    pub async fn negotiate(&self, tcp: TcpStream) -> Result<StartupOutcome, FrameError> {
        let mut stream = FrameStream::new(tcp, MAX_STARTUP_BYTES);
        loop {
            let packet = stream.read_startup().await?;
            if SslRequest::is_ssl_request_packet(&packet) {
                match &self.tls {
                    Some(acceptor) => return accept_tls(acceptor, stream).await,
                    None => decline(&mut stream).await?,
                }
            } else if GssEncRequest::is_gss_enc_request_packet(&packet) {
                decline(&mut stream).await?;
            } else if CancelRequest::is_cancel_request_packet(&packet) {
                return decode_cancel(packet).map(StartupOutcome::Cancel);
            } else {
                let startup = decode_startup(packet)?;
                return Ok(StartupOutcome::Plain(startup, stream));
            }
        }
    }

    /// Requests the caller's key and reads it. Returns `None` if the key is empty.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller sends another message or disconnects.
    pub async fn request_key<S>(
        &self,
        stream: &mut FrameStream<S>,
    ) -> Result<Option<CallerKey>, FrameError>
    where
        S: AsyncRead + AsyncWrite + Unpin,
    {
        stream.queue_message(&Authentication::CleartextPassword)?;
        stream.flush().await?;
        let frame = stream.read_frame().await?;
        if frame.tag() != tags::PASSWORD {
            let message = "a password was expected".to_owned();
            return Err(FrameError::Malformed(message));
        }
        let password: Password = frame.decode()?;
        Ok(CallerKey::new(password.password))
    }
}

/// Reads the parameters of a startup packet.
///
/// # Errors
///
/// Returns the error for the caller if a parameter is invalid.
pub(crate) fn read_parameters(startup: &Startup) -> Result<StartupParameters, ErrorReply> {
    StartupParameters::from_parameters(&startup.parameters)
}

async fn accept_tls(
    acceptor: &TlsAcceptor,
    mut stream: FrameStream<TcpStream>,
) -> Result<StartupOutcome, FrameError> {
    if stream.has_input() {
        let message = "received data before the TLS handshake".to_owned();
        return Err(FrameError::Malformed(message));
    }
    stream.queue_bytes(b"S");
    stream.flush().await?;
    let tls = acceptor.accept(stream.into_inner()).await?;
    let mut stream = FrameStream::new(tls, MAX_STARTUP_BYTES);
    let packet = stream.read_startup().await?;
    if CancelRequest::is_cancel_request_packet(&packet) {
        return decode_cancel(packet).map(StartupOutcome::Cancel);
    }
    let startup = decode_startup(packet)?;
    Ok(StartupOutcome::Tls(startup, Box::new(stream)))
}

async fn decline(stream: &mut FrameStream<TcpStream>) -> Result<(), FrameError> {
    stream.queue_bytes(b"N");
    stream.flush().await
}

fn decode_startup(packet: Bytes) -> Result<Startup, FrameError> {
    decode_packet(packet, "the startup packet is truncated")
}

fn decode_cancel(packet: Bytes) -> Result<CancelKey, FrameError> {
    let request: CancelRequest = decode_packet(packet, "the cancel packet is truncated")?;
    Ok(CancelKey {
        pid: request.pid,
        secret: request.secret_key,
    })
}

fn decode_packet<M: Message>(packet: Bytes, too_short: &str) -> Result<M, FrameError> {
    let context = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
    let mut buffer = BytesMut::from(packet);
    let message = M::decode(&mut buffer, &context)?;
    message.ok_or_else(|| FrameError::Malformed(too_short.to_owned()))
}

/// Returns the error for a caller that violated the protocol.
pub(crate) fn protocol_error(error: &FrameError) -> ErrorReply {
    ErrorReply::new(PROTOCOL_SQLSTATE, error.to_string()).fatal()
}
