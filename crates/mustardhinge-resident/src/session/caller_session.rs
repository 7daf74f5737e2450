use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use mustardhinge_core::membership::DrainPhase;
use mustardhinge_core::prelude::{CustomerId, RefusalReason};
use mustardhinge_core::session::{CommitTable, SessionCommit};
use mustardhinge_process::event;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use super::caller_channel::{CallerChannel, IdleState, SessionEvent};
use super::rate_admission::{admit, release_unsent};
use super::read_path::run_read;
use super::refusal_log::{log_refusal, log_unauthorized};
use super::response_log::log_response;
use super::retry_spread::spread_retry;
use super::transaction_path::{commit, roll_back, run_in_transaction};
use super::unfinished_statement::UnfinishedStatement;
use super::write_path::run_write;
use super::{
    CheckedAccess, OpenTransaction, SessionAccess, SessionRequest, SessionValues, StatementResponse,
};
use crate::adapter::{
    CallerMessage, CallerStatement, SessionCodec, SessionRefusal, TransactionState,
};
use crate::node::NodeState;

/// Time within which a caller must start its session; otherwise the connection is closed.
const START_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a new session waits for the first configuration; callers time out after about 2 s.
const PLAN_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Session of one caller.
#[derive(Debug)]
pub struct CallerSession<W> {
    node: Rc<NodeState>,
    channel: CallerChannel<W>,
    number: u64,
    access: SessionAccess,
    values: SessionValues,
    transaction: Option<OpenTransaction>,
    commits: CommitTable,
}

impl<W: SessionCodec> CallerSession<W> {
    /// Creates the session of a new connection.
    #[must_use]
    pub fn new(node: Rc<NodeState>, stream: TcpStream) -> Self {
        let number = node.allocate_session_number();
        let channel = CallerChannel::new(stream, number, node.subscribe_drain());
        Self {
            node,
            channel,
            number,
            access: SessionAccess::default(),
            values: SessionValues::new(number),
            transaction: None,
            commits: CommitTable::default(),
        }
    }

    /// Serves the caller until it disconnects or the instance stops.
    pub async fn serve(mut self) {
        if self.start().await {
            self.serve_requests().await;
        }
        if let Some(transaction) = self.transaction.take()
            && let Some(access) = self.access.last_checked()
        {
            let request = self.new_request(Bytes::new(), Bytes::new(), access);
            roll_back::<W>(&self.node, &request, transaction).await;
        }
        self.channel.close().await;
    }

    async fn start(&mut self) -> bool {
        let first = timeout(START_TIMEOUT, self.channel.next_event(IdleState::default())).await;
        let Ok(SessionEvent::Message(CallerMessage::Start { database, key })) = first else {
            return false;
        };
        let started_at = self.node.clock.now();
        while self.node.plan().version().get() == 0 {
            if self.node.clock.now().saturating_since(started_at) > PLAN_TIMEOUT {
                break;
            }
            sleep(Duration::from_millis(50)).await;
        }
        self.access = SessionAccess::new(database, key.as_ref());
        match self.access.check(&self.node.plan()) {
            Ok(_) => {
                self.channel.write_ready(TransactionState::Idle);
                self.channel.flush().await
            }
            Err(refusal) => {
                self.channel.close_with(&refusal).await;
                false
            }
        }
    }

    async fn serve_requests(&mut self) {
        loop {
            let idle = self.idle_state();
            match self.channel.next_event(idle).await {
                SessionEvent::Closed | SessionEvent::Message(CallerMessage::Bye) => return,
                SessionEvent::Closing => return self.channel.mark_closing(),
                SessionEvent::EndTransaction => self.end_transaction(),
                SessionEvent::Message(CallerMessage::Start { .. }) => {
                    self.respond_refusal(&SessionRefusal::Malformed("session has started already"));
                }
                SessionEvent::Message(CallerMessage::Statement {
                    id,
                    text,
                    statement,
                }) => {
                    self.handle_statement(id, text, statement).await;
                }
            }
            if !self.channel.flush().await {
                return;
            }
            let may_close = self.transaction.is_none() || self.channel.is_refusing();
            if may_close && self.channel.is_closing() {
                return self.channel.mark_closing();
            }
        }
    }

    fn idle_state(&self) -> IdleState {
        let Some(transaction) = &self.transaction else {
            return IdleState::default();
        };
        let limit = self.node.plan().transaction_idle_timeout();
        let is_open = !transaction.is_failed;
        IdleState {
            in_transaction: true,
            is_open,
            timeout: (is_open && !limit.is_zero()).then_some(limit),
        }
    }

    fn end_transaction(&mut self) {
        if let Some(transaction) = self.transaction.as_mut() {
            event::TRANSACTION_ENDED.log(format_args!(
                "session={} service={} wrote={}",
                self.number, transaction.route.service, transaction.has_written
            ));
            transaction.lease = None;
            transaction.is_failed = true;
        }
    }

    /// Ends the transaction if another customer held the caller's key when it began.
    fn end_transaction_of_another(&mut self, customer: &CustomerId) {
        let began = self.transaction.as_ref().map(|open| &open.customer);
        if began.is_some_and(|began| began != customer) {
            self.end_transaction();
        }
    }

    async fn handle_statement(&mut self, id: Bytes, text: Bytes, statement: CallerStatement) {
        let access = match self.access.check(&self.node.plan()) {
            Ok(found) => found,
            Err(refusal) => {
                self.fail_transaction();
                log_unauthorized(&self.node, &id, &refusal);
                self.respond_refusal(&refusal);
                return;
            }
        };
        self.end_transaction_of_another(&access.customer);
        let mut request = self.new_request(id, text, access);
        if !self.may_take(&request, &statement) {
            self.refuse_for_drain(&request);
            return;
        }
        if self.is_failed() && statement.changes_session() {
            self.respond_refusal(&SessionRefusal::Malformed("the transaction has failed"));
            return;
        }
        match statement {
            CallerStatement::Begin { read_only } => self.begin(read_only, request),
            CallerStatement::SetValue { name } => {
                self.values.set(name, request.text);
                self.respond_done();
            }
            CallerStatement::Prepare { name, writes } => {
                self.values.prepare(name, writes, request.text);
                self.respond_done();
            }
            CallerStatement::Forget { name } => {
                self.values.remove_prepared(&name);
                self.respond_done();
            }
            CallerStatement::Rollback => self.roll_back(request).await,
            CallerStatement::Commit => self.commit_until_finishing(request).await,
            CallerStatement::Read => self.run_until_finishing(request).await,
            CallerStatement::Write => {
                request.writes = true;
                self.run_until_finishing(request).await;
            }
            CallerStatement::Execute { name } => {
                let Some(writes) = self.values.writes(&name) else {
                    self.fail_transaction();
                    self.respond_refusal(&SessionRefusal::UnknownName);
                    return;
                };
                request.writes = writes;
                request.name = Some(name);
                self.run_until_finishing(request).await;
            }
            CallerStatement::Unknown => {
                self.fail_transaction();
                self.respond_refusal(&SessionRefusal::Malformed("statement is not known"));
            }
        }
    }

    /// Returns whether a planned stop leaves enough time for a statement.
    ///
    /// A transaction that is open has its own time to end, and the end of one is always tried.
    fn may_take(&self, request: &SessionRequest, statement: &CallerStatement) -> bool {
        let phase = self.node.drain_phase();
        if phase < DrainPhase::Ending {
            return true;
        }
        match statement {
            CallerStatement::Commit | CallerStatement::Rollback => true,
            CallerStatement::Begin { .. } => self.transaction.is_some(),
            _ if self.is_failed() => true,
            _ if self.transaction.is_none() && self.channel.is_refusing() => false,
            CallerStatement::Read | CallerStatement::Write | CallerStatement::Execute { .. } => {
                let longest = request.route.statement_timeout;
                self.node.may_take(longest, request.received_at)
            }
            _ => true,
        }
    }

    fn refuse_for_drain(&mut self, request: &SessionRequest) {
        let refusal = match &self.transaction {
            Some(transaction) if transaction.lease.is_some() => SessionRefusal::Aborted,
            _ => SessionRefusal::NotRun {
                reason: RefusalReason::InstanceDraining,
                retry_after: Some(Duration::ZERO),
            },
        };
        self.refuse(request, &refusal);
    }

    /// Runs a statement, but not beyond the end of a planned stop.
    async fn run_until_finishing(&mut self, mut request: SessionRequest) {
        if let Some(transaction) = &self.transaction {
            request.route = Rc::clone(&transaction.route);
        }
        let unfinished = UnfinishedStatement::run(self.transaction.as_ref(), request.writes);
        let mut drain = self.node.subscribe_drain();
        tokio::select! {
            biased;
            () = self.run(&request) => {}
            () = wait_until_finishing(&mut drain) => self.finish(&request, unfinished),
        }
    }

    /// Commits the transaction, but not beyond the end of a planned stop.
    async fn commit_until_finishing(&mut self, mut request: SessionRequest) {
        if let Some(transaction) = &self.transaction
            && transaction.lease.is_some()
        {
            request.route = Rc::clone(&transaction.route);
        }
        let unfinished = UnfinishedStatement::commit(self.transaction.as_ref());
        let mut drain = self.node.subscribe_drain();
        tokio::select! {
            biased;
            () = self.commit(&request) => {}
            () = wait_until_finishing(&mut drain) => self.finish(&request, unfinished),
        }
    }

    /// Answers a statement that has no response when a planned stop ends the process.
    fn finish(&mut self, request: &SessionRequest, unfinished: UnfinishedStatement) {
        let was_sent = request.last_attempt.borrow().is_some();
        let refusal = unfinished.refusal(was_sent);
        self.refuse(request, &refusal);
    }

    fn begin(&mut self, read_only: bool, request: SessionRequest) {
        if self.transaction.is_some() {
            self.fail_transaction();
            self.respond_refusal(&SessionRefusal::Malformed("a transaction is open"));
            return;
        }
        self.transaction = Some(OpenTransaction::new(
            read_only,
            request.route,
            request.customer,
        ));
        self.respond_done();
    }

    async fn roll_back(&mut self, request: SessionRequest) {
        let Some(transaction) = self.transaction.take() else {
            self.respond_refusal(&SessionRefusal::Malformed("no transaction is open"));
            return;
        };
        roll_back::<W>(&self.node, &request, transaction).await;
        self.respond_done();
    }

    async fn commit(&mut self, request: &SessionRequest) {
        let Some(transaction) = self.transaction.take() else {
            self.respond_refusal(&SessionRefusal::Malformed("no transaction is open"));
            return;
        };
        // A commit that begins its transaction at a target counts against the rate.
        let begins = transaction.lease.is_none() && !transaction.is_failed;
        let admitted = if begins {
            admit(&self.node, request).await
        } else {
            Ok(None)
        };
        let source = match admitted {
            Ok(source) => source,
            Err(refusal) => return self.refuse(request, &refusal),
        };
        let (response, commit) = commit::<W>(
            &self.node,
            request,
            &self.values,
            &self.commits,
            transaction,
        )
        .await;
        self.record_commit(commit);
        if let Some(source) = source {
            release_unsent(&self.node, request, source, &response);
        }
        self.respond(request, response);
    }

    /// Refuses a statement, and fails its transaction.
    fn refuse(&mut self, request: &SessionRequest, refusal: &SessionRefusal) {
        self.fail_transaction();
        log_refusal(&self.node, request, refusal);
        self.respond_refusal(refusal);
    }

    async fn run(&mut self, request: &SessionRequest) {
        if self.is_failed() {
            let refusal = match &self.transaction {
                Some(transaction) if transaction.lease.is_some() => {
                    SessionRefusal::Malformed("the transaction has failed")
                }
                _ => SessionRefusal::Aborted,
            };
            self.respond_refusal(&refusal);
            return;
        }
        let has_begun = self
            .transaction
            .as_ref()
            .is_some_and(|open| open.lease.is_some());
        // A transaction counts once against the rate, when its first statement begins it at a
        // target.
        let admitted = if has_begun {
            Ok(None)
        } else {
            admit(&self.node, request).await
        };
        let source = match admitted {
            Ok(source) => source,
            Err(refusal) => return self.refuse(request, &refusal),
        };
        let response = self.run_admitted(request).await;
        if let Some(source) = source {
            release_unsent(&self.node, request, source, &response);
        }
        self.respond(request, response);
    }

    /// Runs a statement that the customer's rate allows.
    async fn run_admitted(&mut self, request: &SessionRequest) -> StatementResponse {
        let group = self.node.group(&request.route.service);
        group.record_use(self.node.clock.now());
        match self.transaction.as_mut() {
            Some(transaction) => {
                run_in_transaction::<W>(
                    &self.node,
                    request,
                    &self.values,
                    &self.commits,
                    transaction,
                )
                .await
            }
            None if request.writes => {
                let (response, commit) = run_write::<W>(&self.node, request, &self.values).await;
                self.record_commit(commit);
                response
            }
            None => run_read::<W>(&self.node, request, &self.values, &self.commits).await,
        }
    }

    fn record_commit(&mut self, commit: Option<SessionCommit>) {
        if let Some(commit) = commit {
            self.commits.record(commit);
        }
    }

    fn new_request(&self, id: Bytes, text: Bytes, access: CheckedAccess) -> SessionRequest {
        SessionRequest {
            id,
            text,
            name: None,
            writes: false,
            route: access.route,
            customer: access.customer,
            homes: access.homes,
            session: self.number,
            received_at: self.node.clock.now(),
            last_attempt: RefCell::new(None),
            begins: Cell::new(false),
        }
    }

    fn respond(&mut self, request: &SessionRequest, response: StatementResponse) {
        match response {
            StatementResponse::Reply(reply) => {
                log_response(&self.node, request, &reply);
                let state = self.transaction_state();
                self.channel
                    .write_response(&reply.body, state, reply.position);
            }
            StatementResponse::Refused(refusal) => {
                let refusal = spread_retry(&self.node, request, refusal);
                log_refusal(&self.node, request, &refusal);
                self.respond_refusal(&refusal);
            }
        }
        let elapsed = self.node.clock.now().saturating_since(request.received_at);
        let kind = if request.writes { "write" } else { "read" };
        metrics::histogram!("resident_statement_seconds", "kind" => kind)
            .record(elapsed.as_secs_f64());
    }

    fn fail_transaction(&mut self) {
        if let Some(transaction) = self.transaction.as_mut() {
            transaction.is_failed = true;
            transaction.lease = None;
        }
    }

    fn respond_done(&mut self) {
        let state = self.transaction_state();
        self.channel.write_done(state);
    }

    fn respond_refusal(&mut self, refusal: &SessionRefusal) {
        let state = self.transaction_state();
        self.channel.write_refusal(refusal, state);
    }

    /// Returns whether there is a transaction that has failed.
    fn is_failed(&self) -> bool {
        self.transaction.as_ref().is_some_and(|open| open.is_failed)
    }

    fn transaction_state(&self) -> TransactionState {
        match &self.transaction {
            None => TransactionState::Idle,
            Some(_) if self.is_failed() => TransactionState::Failed,
            Some(_) => TransactionState::Open,
        }
    }
}

/// Waits until a planned stop is about to end the process.
async fn wait_until_finishing(drain: &mut watch::Receiver<DrainPhase>) {
    let reached = drain.wait_for(|phase| *phase == DrainPhase::Finishing);
    if reached.await.is_err() {
        std::future::pending::<()>().await;
    }
}
