use bytes::{BufMut, BytesMut};
use pgwire::error::PgWireError;
use pgwire::messages::data::DataRow;
use pgwire::messages::{
    DecodeContext, PgWireBackendMessage, PgWireFrontendMessage, ProtocolVersion,
};

use super::replication_message::ReplicationMessage;
use super::replication_request::ReplicationRequest;
use crate::target::session::{LinkError, MessageLink};
use crate::target::storage::LogEntry;
use crate::target::target_shared::TargetShared;

/// The number of log entries that are sent at once.
const BATCH_ENTRIES: usize = 256;

/// Sends the log to a replica as long as this target is the primary asked for.
pub(in crate::target) async fn serve_replica(
    shared: &TargetShared,
    link: &mut MessageLink,
) -> Result<(), LinkError> {
    let request = read_request(link).await?;
    let common = shared.read(|member| member.common_count(request.term, &request.runs));
    let Some(mut sent) = common else {
        return Ok(());
    };
    put_message(link, &ReplicationMessage::Common(sent))?;
    link.flush().await?;
    let mut progress = shared.progress();
    loop {
        progress.mark_unchanged();
        let Some(entries) = next_entries(shared, &request, sent) else {
            return Ok(());
        };
        if entries.is_empty() {
            tokio::select! {
                _ = progress.changed() => {}
                // A replica sends nothing more; this ends when it has gone.
                result = read_request(link) => return result.map(|_| ()),
            }
            continue;
        }
        sent += entries.len();
        for entry in entries {
            put_message(link, &ReplicationMessage::Entry(entry))?;
        }
        link.flush().await?;
    }
}

/// Returns the entries after the first `sent`; none if no longer the primary.
fn next_entries(
    shared: &TargetShared,
    request: &ReplicationRequest,
    sent: usize,
) -> Option<Vec<LogEntry>> {
    shared.read(|member| {
        let is_primary = member.writable_term() == Ok(request.term);
        let entries = member.log().entries_after(sent).iter();
        let batch = entries.take(BATCH_ENTRIES).map(|entry| (**entry).clone());
        is_primary.then(|| batch.collect())
    })
}

async fn read_request(link: &mut MessageLink) -> Result<ReplicationRequest, LinkError> {
    let mut context = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
    context.awaiting_frontend_ssl = false;
    context.awaiting_frontend_startup = false;
    let decode = |input: &mut BytesMut| PgWireFrontendMessage::decode(input, &context);
    match link.read(decode, |_| {}).await? {
        PgWireFrontendMessage::Query(query) => serde_json::from_str(&query.query)
            .map_err(|error| PgWireError::ApiError(error.into()).into()),
        _ => Err(LinkError::Closed),
    }
}

fn put_message(link: &mut MessageLink, message: &ReplicationMessage) -> Result<(), LinkError> {
    let text = serde_json::to_vec(message).map_err(|error| PgWireError::ApiError(error.into()))?;
    let mut data = BytesMut::new();
    data.put_i32(i32::try_from(text.len()).unwrap_or(i32::MAX));
    data.put_slice(&text);
    link.put(&PgWireBackendMessage::DataRow(DataRow::new(data, 1)))
}
