use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use pgwire::error::PgWireError;
use pgwire::messages::simplequery::Query;
use pgwire::messages::startup::Startup;
use pgwire::messages::{
    DecodeContext, PgWireBackendMessage, PgWireFrontendMessage, ProtocolVersion,
};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::mpsc;

use super::entry_receiver::receive_entries;
use super::replication_message::ReplicationMessage;
use super::replication_request::ReplicationRequest;
use crate::fault::LinkGate;
use crate::target::member::PrimaryLink;
use crate::target::session::{LinkError, MessageLink, REPLICATION_PARAMETER};
use crate::target::target_shared::TargetShared;

/// How long a replica waits before it connects again.
const RECONNECT_DELAY: Duration = Duration::from_millis(20);
/// The size of the length of a value in a row, in bytes.
const LENGTH_BYTES: usize = 4;
/// The number of a connection that is never silenced.
const UNNUMBERED: u64 = u64::MAX;

/// Follows whichever primary the target is told to follow.
pub(in crate::target) async fn follow_primaries(shared: Arc<TargetShared>, own_ip: IpAddr) {
    let mut progress = shared.progress();
    loop {
        progress.mark_unchanged();
        let link = shared.read(|member| member.following().cloned());
        let Some(link) = link else {
            if progress.changed().await.is_err() {
                return;
            }
            continue;
        };
        tokio::select! {
            _ = follow(&shared, &link, own_ip) => tokio::time::sleep(RECONNECT_DELAY).await,
            () = wait_for_other(&shared, &link) => {}
        }
    }
}

/// Waits until the target is told to follow another primary, or none.
async fn wait_for_other(shared: &TargetShared, link: &PrimaryLink) {
    let mut progress = shared.progress();
    while shared.read(|member| member.following() == Some(link)) {
        if progress.changed().await.is_err() {
            return;
        }
    }
}

/// Follows one primary until the connection fails.
async fn follow(
    shared: &TargetShared,
    primary: &PrimaryLink,
    own_ip: IpAddr,
) -> Result<(), LinkError> {
    let stream = connect_from(own_ip, primary.address).await?;
    let faults = shared.link_faults.subscribe();
    let gate = LinkGate::new(faults, primary.address.ip(), UNNUMBERED);
    let mut link = MessageLink::new(stream, gate.clone());
    send_request(shared, primary, &mut link).await?;
    let (sender, receiver) = mpsc::unbounded_channel();
    let read = read_messages(&mut link, &sender);
    let receive = receive_entries(shared, primary, gate, receiver);
    tokio::try_join!(read, receive)?;
    Ok(())
}

async fn connect_from(own_ip: IpAddr, address: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.bind(SocketAddr::new(own_ip, 0))?;
    let stream = socket.connect(address).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

async fn send_request(
    shared: &TargetShared,
    primary: &PrimaryLink,
    link: &mut MessageLink,
) -> Result<(), LinkError> {
    let mut startup = Startup::new();
    let parameters = [
        ("user", "mustardhinge"),
        (REPLICATION_PARAMETER, &shared.settings.name),
    ];
    for (name, value) in parameters {
        startup.parameters.insert(name.to_owned(), value.to_owned());
    }
    link.put_frontend(&PgWireFrontendMessage::Startup(startup))?;
    let request = ReplicationRequest {
        term: primary.term,
        runs: shared.read(|member| member.log().term_runs()),
    };
    let text = serde_json::to_string(&request);
    let text = text.map_err(|error| PgWireError::ApiError(error.into()))?;
    link.put_frontend(&PgWireFrontendMessage::Query(Query::new(text)))?;
    link.flush().await
}

/// Hands on the messages of the primary with the time at which they came in.
async fn read_messages(
    link: &mut MessageLink,
    sender: &mpsc::UnboundedSender<(Instant, ReplicationMessage)>,
) -> Result<(), LinkError> {
    let context = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
    let decode = |input: &mut BytesMut| PgWireBackendMessage::decode(input, &context);
    loop {
        let PgWireBackendMessage::DataRow(row) = link.read(decode, |_| {}).await? else {
            continue;
        };
        let text = row.data.get(LENGTH_BYTES..).unwrap_or_default();
        let message = serde_json::from_slice(text);
        let message = message.map_err(|error| PgWireError::ApiError(error.into()))?;
        sender
            .send((Instant::now(), message))
            .map_err(|_| LinkError::Closed)?;
    }
}
