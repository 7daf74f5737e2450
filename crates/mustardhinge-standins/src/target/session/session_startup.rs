use bytes::BytesMut;
use pgwire::messages::response::{ReadyForQuery, SslResponse, TransactionStatus};
use pgwire::messages::startup::{
    Authentication, BackendKeyData, ParameterStatus, SecretKey, Startup,
};
use pgwire::messages::{
    DecodeContext, PgWireBackendMessage, PgWireFrontendMessage, ProtocolVersion,
    SslNegotiationMetaMessage,
};

use super::answer_messages::error_response;
use super::{LinkError, MessageLink};
use crate::target::connection_count::ConnectionCount;
use crate::target::member::SqlError;
use crate::target::target_shared::TargetShared;

/// The startup parameter that marks the connection of a replica.
pub(in crate::target) const REPLICATION_PARAMETER: &str = "replication";

/// What a new connection turned out to be.
pub(super) enum StartupOutcome {
    /// A caller's, ready for statements.
    Caller {
        process: i32,
        secret: i32,
        count: ConnectionCount,
    },
    /// A replica's.
    Replica,
    /// A cancel request, or refused: nothing is left to do.
    Done,
}

/// Carries out the startup phase of a connection.
pub(super) async fn start_session(
    shared: &TargetShared,
    link: &mut MessageLink,
    number: u64,
) -> Result<StartupOutcome, LinkError> {
    let mut context = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
    loop {
        let decode = |input: &mut BytesMut| PgWireFrontendMessage::decode(input, &context);
        let record = |bytes: &[u8]| shared.record_bytes(bytes);
        match link.read(decode, record).await? {
            PgWireFrontendMessage::SslNegotiation(SslNegotiationMetaMessage::None) => {
                context.awaiting_frontend_ssl = false;
            }
            PgWireFrontendMessage::SslNegotiation(_) => {
                link.put(&PgWireBackendMessage::SslResponse(SslResponse::Refuse))?;
                link.flush().await?;
            }
            PgWireFrontendMessage::CancelRequest(request) => {
                let secret = request.secret_key.as_i32().unwrap_or(0);
                shared.cancels.cancel(request.pid, secret);
                return Ok(StartupOutcome::Done);
            }
            PgWireFrontendMessage::Startup(startup) => {
                return accept_startup(shared, link, number, &startup).await;
            }
            _ => return Ok(StartupOutcome::Done),
        }
    }
}

async fn accept_startup(
    shared: &TargetShared,
    link: &mut MessageLink,
    number: u64,
    startup: &Startup,
) -> Result<StartupOutcome, LinkError> {
    if startup.parameters.contains_key(REPLICATION_PARAMETER) {
        link.put(&PgWireBackendMessage::Authentication(Authentication::Ok))?;
        put_ready(link).await?;
        return Ok(StartupOutcome::Replica);
    }
    let limit = shared.settings.connection_limit;
    let Some(count) = ConnectionCount::acquire(&shared.open_connections, limit) else {
        link.put(&error_response(&SqlError::TooManyConnections))?;
        link.flush().await?;
        return Ok(StartupOutcome::Done);
    };
    tokio::time::sleep(shared.settings.connection_delay).await;
    link.put(&PgWireBackendMessage::Authentication(Authentication::Ok))?;
    let process = i32::try_from(number).unwrap_or(i32::MAX);
    let secret = secret_of(process);
    let key = BackendKeyData::new(process, SecretKey::I32(secret));
    link.put(&PgWireBackendMessage::BackendKeyData(key))?;
    for (name, value) in [
        ("server_version", "17.0"),
        ("server_encoding", "UTF8"),
        ("client_encoding", "UTF8"),
        ("standard_conforming_strings", "on"),
    ] {
        let status = ParameterStatus::new(name.to_owned(), value.to_owned());
        link.put(&PgWireBackendMessage::ParameterStatus(status))?;
    }
    put_ready(link).await?;
    Ok(StartupOutcome::Caller {
        process,
        secret,
        count,
    })
}

async fn put_ready(link: &mut MessageLink) -> Result<(), LinkError> {
    let ready = ReadyForQuery::new(TransactionStatus::Idle);
    link.put(&PgWireBackendMessage::ReadyForQuery(ready))?;
    link.flush().await
}

/// Returns a secret that differs from connection to connection.
const fn secret_of(process: i32) -> i32 {
    const MULTIPLIER: i32 = 0x5bd1_e995;
    process.wrapping_mul(MULTIPLIER) ^ MULTIPLIER
}
