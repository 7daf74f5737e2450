use std::net::IpAddr;
use std::sync::Arc;

use bytes::BytesMut;
use pgwire::messages::data::{NoData, ParameterDescription};
use pgwire::messages::extendedquery::{
    BindComplete, CloseComplete, Describe, ParseComplete, TARGET_TYPE_BYTE_STATEMENT,
};
use pgwire::messages::response::{CommandComplete, EmptyQueryResponse, ReadyForQuery};
use pgwire::messages::startup::ParameterStatus;
use pgwire::messages::{
    DecodeContext, PgWireBackendMessage, PgWireFrontendMessage, ProtocolVersion,
};
use tokio::net::TcpStream;

use super::answer_fault::hold_up_answer;
use super::answer_messages::{TEXT_TYPE, data_row, error_response, row_description};
use super::extended_state::ExtendedState;
use super::reply_rows::ReplyRows;
use super::session_startup::{StartupOutcome, start_session};
use super::statement_input::StatementInput;
use super::statement_reply::StatementReply;
use super::transaction_runner::TransactionRunner;
use super::{LinkError, MessageLink};
use crate::fault::{LinkFault, LinkGate};
use crate::target::member::SqlError;
use crate::target::replication::serve_replica;
use crate::target::statement::{SqlStatement, parse_statements};
use crate::target::target_shared::TargetShared;

/// One caller's connection.
struct ClientSession {
    link: MessageLink,
    runner: TransactionRunner,
    extended: ExtendedState,
    process: i32,
    secret: i32,
}

/// Serves one connection until either end closes it or a fault ends it.
pub(in crate::target) async fn serve_connection(
    shared: Arc<TargetShared>,
    stream: TcpStream,
    peer: IpAddr,
    number: u64,
) {
    let gate = LinkGate::new(shared.link_faults.subscribe(), peer, number);
    let mut down_gate = gate.clone();
    // Failing to set it costs time only.
    let _ = stream.set_nodelay(true);
    let link = MessageLink::new(stream, gate);
    tokio::select! {
        () = serve_link(shared, link, number) => {}
        () = down_gate.wait_for_down() => {}
    }
}

async fn serve_link(shared: Arc<TargetShared>, mut link: MessageLink, number: u64) {
    match start_session(&shared, &mut link, number).await {
        Ok(StartupOutcome::Caller {
            process,
            secret,
            count,
        }) => {
            let mut session = ClientSession {
                link,
                runner: TransactionRunner::new(shared, number),
                extended: ExtendedState::default(),
                process,
                secret,
            };
            let result = session.serve().await;
            session.end(result).await;
            drop(count);
        }
        Ok(StartupOutcome::Replica) => {
            // The replica connects again.
            let _ = serve_replica(&shared, &mut link).await;
        }
        Ok(StartupOutcome::Done) => {}
        Err(LinkError::Fault(LinkFault::Silent)) => link.discard_input().await,
        Err(_) => link.reset(),
    }
}

impl ClientSession {
    async fn serve(&mut self) -> Result<(), LinkError> {
        let mut context = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
        context.awaiting_frontend_ssl = false;
        context.awaiting_frontend_startup = false;
        loop {
            let shared = &self.runner.shared;
            let decode = |input: &mut BytesMut| PgWireFrontendMessage::decode(input, &context);
            let record = |bytes: &[u8]| shared.record_bytes(bytes);
            let message = self.link.read(decode, record).await?;
            if matches!(message, PgWireFrontendMessage::Terminate(_)) {
                return Ok(());
            }
            self.handle(message).await?;
        }
    }

    /// Ends the session; a silent one stays until the caller closes it.
    async fn end(&mut self, result: Result<(), LinkError>) {
        match result {
            Ok(()) | Err(LinkError::Closed) => {}
            Err(LinkError::Fault(LinkFault::Silent)) => self.link.discard_input().await,
            Err(_) => self.link.reset(),
        }
    }

    async fn handle(&mut self, message: PgWireFrontendMessage) -> Result<(), LinkError> {
        match message {
            PgWireFrontendMessage::Query(query) => {
                if let Err(error) = self.run_query(&query.query).await? {
                    self.put_error(&error)?;
                }
                self.put_ready().await
            }
            PgWireFrontendMessage::Sync(_) => {
                self.extended.is_skipping = false;
                self.put_ready().await
            }
            PgWireFrontendMessage::Flush(_) => self.link.flush().await,
            _ if self.extended.is_skipping => Ok(()),
            other => {
                if let Err(error) = self.handle_extended(other).await? {
                    self.extended.is_skipping = true;
                    self.put_error(&error)?;
                }
                Ok(())
            }
        }
    }

    async fn run_query(&mut self, text: &str) -> Result<Result<(), SqlError>, LinkError> {
        let Some(statements) = parse_statements(text) else {
            self.runner.note_malformed(text);
            return Ok(Err(SqlError::Syntax));
        };
        if statements.is_empty() {
            let empty = PgWireBackendMessage::EmptyQueryResponse(EmptyQueryResponse::new());
            self.link.put(&empty)?;
        }
        for (index, statement) in statements.iter().enumerate() {
            let input = StatementInput {
                text,
                statement,
                parameters: &[],
                is_last: index + 1 == statements.len(),
            };
            let reply = match self.run(input).await {
                Ok(reply) => reply,
                Err(error) => return Ok(Err(error)),
            };
            let columns = statement.columns();
            if !columns.is_empty() {
                self.put_row_description(&columns)?;
            }
            self.put_reply(reply).await?;
        }
        Ok(Ok(()))
    }

    async fn run(&mut self, input: StatementInput<'_>) -> Result<StatementReply, SqlError> {
        let shared = Arc::clone(&self.runner.shared);
        let cancel = shared.cancels.start(self.process, self.secret);
        let result = self.runner.run(input, &cancel).await;
        shared.cancels.end(self.process, self.secret);
        result
    }

    async fn handle_extended(
        &mut self,
        message: PgWireFrontendMessage,
    ) -> Result<Result<(), SqlError>, LinkError> {
        let (result, answer) = match message {
            PgWireFrontendMessage::Parse(parse) => {
                let answer = PgWireBackendMessage::ParseComplete(ParseComplete::new());
                (self.extended.parse(parse), answer)
            }
            PgWireFrontendMessage::Bind(bind) => {
                let answer = PgWireBackendMessage::BindComplete(BindComplete::new());
                (self.extended.bind(bind), answer)
            }
            PgWireFrontendMessage::Close(close) => {
                let name = close.name.unwrap_or_default();
                self.extended.close(close.target_type, &name);
                let answer = PgWireBackendMessage::CloseComplete(CloseComplete::new());
                (Ok(()), answer)
            }
            PgWireFrontendMessage::Describe(describe) => return self.describe(&describe),
            PgWireFrontendMessage::Execute(execute) => {
                return self.execute(&execute.name.unwrap_or_default()).await;
            }
            _ => return Ok(Err(SqlError::Unsupported)),
        };
        if result.is_ok() {
            self.link.put(&answer)?;
        }
        Ok(result)
    }

    fn describe(&mut self, describe: &Describe) -> Result<Result<(), SqlError>, LinkError> {
        let name = describe.name.as_deref().unwrap_or_default();
        let is_statement = describe.target_type == TARGET_TYPE_BYTE_STATEMENT;
        let found = if is_statement {
            self.extended.statement(name)
        } else {
            self.extended.portal(name).map(|portal| &portal.prepared)
        };
        let prepared = match found {
            Ok(prepared) => prepared.clone(),
            Err(error) => return Ok(Err(error)),
        };
        let statement = prepared.statement.as_ref();
        if is_statement {
            let count = statement.map_or(0, SqlStatement::parameter_count);
            let types = ParameterDescription::new(vec![TEXT_TYPE; count]);
            self.link
                .put(&PgWireBackendMessage::ParameterDescription(types))?;
        }
        let columns = statement.map(SqlStatement::columns).unwrap_or_default();
        if columns.is_empty() {
            self.link
                .put(&PgWireBackendMessage::NoData(NoData::new()))?;
        } else {
            self.put_row_description(&columns)?;
        }
        Ok(Ok(()))
    }

    async fn execute(&mut self, name: &str) -> Result<Result<(), SqlError>, LinkError> {
        let portal = match self.extended.portal(name) {
            Ok(portal) => portal.clone(),
            Err(error) => return Ok(Err(error)),
        };
        let Some(statement) = &portal.prepared.statement else {
            let empty = PgWireBackendMessage::EmptyQueryResponse(EmptyQueryResponse::new());
            self.link.put(&empty)?;
            return Ok(Ok(()));
        };
        let input = StatementInput {
            text: &portal.prepared.text,
            statement,
            parameters: &portal.parameters,
            is_last: true,
        };
        match self.run(input).await {
            Ok(reply) => {
                if *statement == SqlStatement::DiscardAll {
                    self.extended.clear();
                }
                self.put_reply(reply).await.map(Ok)
            }
            Err(error) => Ok(Err(error)),
        }
    }

    async fn put_reply(&mut self, reply: StatementReply) -> Result<(), LinkError> {
        hold_up_answer(&self.runner.shared.faults, &reply).await?;
        if let Some(position) = reply.position {
            let status = ParameterStatus::new("group_position".to_owned(), position.to_string());
            self.link
                .put(&PgWireBackendMessage::ParameterStatus(status))?;
        }
        match reply.rows {
            ReplyRows::None => {}
            ReplyRows::Texts(rows) => {
                for row in rows {
                    self.link.put(&data_row(row.iter().map(String::as_str)))?;
                    self.link.flush_if_large().await?;
                }
            }
            ReplyRows::Filler { rows, row_bytes } => {
                let text = "x".repeat(row_bytes);
                for _ in 0..rows {
                    self.link.put(&data_row([text.as_str()].into_iter()))?;
                    self.link.flush_if_large().await?;
                }
            }
        }
        let complete = CommandComplete::new(reply.tag);
        self.link
            .put(&PgWireBackendMessage::CommandComplete(complete))
    }

    fn put_row_description(&mut self, columns: &[&str]) -> Result<(), LinkError> {
        self.link.put(&row_description(columns))
    }

    fn put_error(&mut self, error: &SqlError) -> Result<(), LinkError> {
        self.link.put(&error_response(error))
    }

    async fn put_ready(&mut self) -> Result<(), LinkError> {
        let ready = ReadyForQuery::new(self.runner.status());
        self.link.put(&PgWireBackendMessage::ReadyForQuery(ready))?;
        self.link.flush().await
    }
}
