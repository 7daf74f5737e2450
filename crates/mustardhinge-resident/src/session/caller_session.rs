use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use mustardhinge_core::prelude::CustomerId;
use mustardhinge_process::event;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use super::answer_log::log_answer;
use super::caller_channel::{CallerChannel, SessionRest, SessionStep};
use super::rate_admission::admit;
use super::read_path::{OwnCommit, run_read};
use super::refusal_log::{log_refusal, log_unauthorized};
use super::transaction_path::{commit, roll_back, run_in_transaction};
use super::write_path::run_write;
use super::{OpenTransaction, SessionAccess, SessionRequest, SessionValues, StatementAnswer};
use crate::adapter::{
    CallerMessage, CallerStatement, SessionCodec, SessionRefusal, TransactionState,
};
use crate::node::NodeState;
use crate::plan::PlanRoute;

/// A connection that doesn't start its session within this time is closed.
const START_LIMIT: Duration = Duration::from_secs(5);
/// How long a new session waits for the first configuration; callers wait about 2 s.
const PLAN_WAIT: Duration = Duration::from_millis(1_200);

/// One caller's session.
#[derive(Debug)]
pub struct CallerSession<W> {
    node: Rc<NodeState>,
    channel: CallerChannel<W>,
    number: u64,
    access: SessionAccess,
    values: SessionValues,
    transaction: Option<OpenTransaction>,
    own: OwnCommit,
}

impl<W: SessionCodec> CallerSession<W> {
    /// Makes the session of a new connection.
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
            own: None,
        }
    }

    /// Serves the caller until it or the instance leaves.
    pub async fn serve(mut self) {
        self.node
            .open_sessions
            .set(self.node.open_sessions.get() + 1);
        if self.start().await {
            self.serve_requests().await;
        }
        if let Some(transaction) = self.transaction.take()
            && let Some((route, customer)) = self.access.last()
        {
            let request = self.request(Bytes::new(), Bytes::new(), route, customer);
            roll_back::<W>(&self.node, &request, transaction).await;
        }
        self.node
            .open_sessions
            .set(self.node.open_sessions.get().saturating_sub(1));
    }

    async fn start(&mut self) -> bool {
        let first = timeout(START_LIMIT, self.channel.next(SessionRest::default())).await;
        let Ok(SessionStep::Message(CallerMessage::Start { database, key })) = first else {
            return false;
        };
        let began = self.node.clock.now();
        while self.node.plan().version().get() == 0 {
            if self.node.clock.now().saturating_since(began) > PLAN_WAIT {
                break;
            }
            sleep(Duration::from_millis(50)).await;
        }
        self.access = SessionAccess::new(database, key.as_ref());
        match self.access.check(&self.node.plan()) {
            Ok(_) => {
                self.channel.ready(TransactionState::Idle);
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
            let rest = self.rest();
            match self.channel.next(rest).await {
                SessionStep::Closed | SessionStep::Message(CallerMessage::Bye) => return,
                SessionStep::Rested => self.end_rested(),
                SessionStep::Message(CallerMessage::Start { .. }) => {
                    self.refuse(&SessionRefusal::Malformed("session has started already"));
                }
                SessionStep::Message(CallerMessage::Statement {
                    id,
                    text,
                    statement,
                }) => {
                    self.take_statement(id, text, statement).await;
                }
            }
            if !self.channel.flush().await {
                return;
            }
            if self.transaction.is_none() && self.channel.is_closing() {
                return;
            }
        }
    }

    fn rest(&self) -> SessionRest {
        let Some(transaction) = &self.transaction else {
            return SessionRest::default();
        };
        let limit = self.node.plan().transaction_idle_timeout();
        let is_open = !transaction.is_failed;
        SessionRest {
            in_transaction: true,
            is_open,
            limit: (is_open && !limit.is_zero()).then_some(limit),
        }
    }

    fn end_rested(&mut self) {
        if let Some(transaction) = self.transaction.as_mut() {
            event::TRANSACTION_ENDED.log(format_args!(
                "session={} service={} wrote={}",
                self.number, transaction.route.service, transaction.has_written
            ));
            transaction.lease = None;
            transaction.is_failed = true;
        }
    }

    async fn take_statement(&mut self, id: Bytes, text: Bytes, statement: CallerStatement) {
        let (route, customer) = match self.access.check(&self.node.plan()) {
            Ok(found) => found,
            Err(refusal) => {
                self.fail_transaction();
                log_unauthorized(&self.node, &id, &refusal);
                self.refuse(&refusal);
                return;
            }
        };
        let mut request = self.request(id, text, route, customer);
        match statement {
            CallerStatement::Begin { read_only } => self.begin(read_only, request.route),
            CallerStatement::SetValue { name } => {
                self.values.set(name, request.text);
                self.done();
            }
            CallerStatement::Prepare { name, writes } => {
                self.values.prepare(name, writes, request.text);
                self.done();
            }
            CallerStatement::Forget { name } => {
                self.values.forget(&name);
                self.done();
            }
            CallerStatement::Rollback => self.roll_back(request).await,
            CallerStatement::Commit => self.commit(request).await,
            CallerStatement::Read => self.run(request).await,
            CallerStatement::Write => {
                request.writes = true;
                self.run(request).await;
            }
            CallerStatement::Execute { name } => {
                let Some(writes) = self.values.writes(&name) else {
                    self.fail_transaction();
                    self.refuse(&SessionRefusal::UnknownName);
                    return;
                };
                request.writes = writes;
                request.name = Some(name);
                self.run(request).await;
            }
            CallerStatement::Unknown => {
                self.fail_transaction();
                self.refuse(&SessionRefusal::Malformed("statement is not known"));
            }
        }
    }

    fn begin(&mut self, read_only: bool, route: Rc<PlanRoute>) {
        if self.transaction.is_some() {
            self.fail_transaction();
            self.refuse(&SessionRefusal::Malformed("a transaction is open"));
            return;
        }
        self.transaction = Some(OpenTransaction::new(read_only, route));
        self.done();
    }

    async fn roll_back(&mut self, request: SessionRequest) {
        let Some(transaction) = self.transaction.take() else {
            self.refuse(&SessionRefusal::Malformed("no transaction is open"));
            return;
        };
        roll_back::<W>(&self.node, &request, transaction).await;
        self.done();
    }

    async fn commit(&mut self, mut request: SessionRequest) {
        let Some(transaction) = self.transaction.take() else {
            self.refuse(&SessionRefusal::Malformed("no transaction is open"));
            return;
        };
        if transaction.lease.is_some() {
            request.route = Rc::clone(&transaction.route);
        }
        let (answer, commit) =
            commit::<W>(&self.node, &request, &self.values, self.own, transaction).await;
        self.own = commit.or(self.own);
        self.answer(&request, answer);
    }

    async fn run(&mut self, mut request: SessionRequest) {
        if self
            .transaction
            .as_ref()
            .is_some_and(|transaction| transaction.is_failed)
        {
            let refusal = match &self.transaction {
                Some(transaction) if transaction.lease.is_some() => {
                    SessionRefusal::Malformed("the transaction has failed")
                }
                _ => SessionRefusal::Aborted,
            };
            self.refuse(&refusal);
            return;
        }
        if let Some(transaction) = &self.transaction {
            request.route = Rc::clone(&transaction.route);
        }
        let has_begun = self
            .transaction
            .as_ref()
            .is_some_and(|open| open.lease.is_some());
        // A transaction counts once, with the statement that begins it at a target.
        if !has_begun && let Err(refusal) = admit(&self.node, &request).await {
            self.fail_transaction();
            log_refusal(&self.node, &request, &refusal);
            self.refuse(&refusal);
            return;
        }
        let group = self.node.group(&request.route.service);
        group.record_use(self.node.clock.now());
        let answer = match self.transaction.as_mut() {
            Some(transaction) => {
                run_in_transaction::<W>(&self.node, &request, &self.values, self.own, transaction)
                    .await
            }
            None if request.writes => {
                let (answer, commit) = run_write::<W>(&self.node, &request, &self.values).await;
                self.own = commit.or(self.own);
                answer
            }
            None => run_read::<W>(&self.node, &request, &self.values, self.own).await,
        };
        self.answer(&request, answer);
    }

    fn request(
        &self,
        id: Bytes,
        text: Bytes,
        route: Rc<PlanRoute>,
        customer: CustomerId,
    ) -> SessionRequest {
        SessionRequest {
            id,
            text,
            name: None,
            writes: false,
            route,
            customer,
            session: self.number,
            came_at: self.node.clock.now(),
            sent: RefCell::new(None),
        }
    }

    fn answer(&mut self, request: &SessionRequest, answer: StatementAnswer) {
        match answer {
            StatementAnswer::Reply(reply) => {
                log_answer(&self.node, request, &reply);
                let state = self.state();
                self.channel.pass_on(&reply.body, state, reply.position);
            }
            StatementAnswer::Refused(refusal) => {
                log_refusal(&self.node, request, &refusal);
                self.refuse(&refusal);
            }
        }
        let took = self.node.clock.now().saturating_since(request.came_at);
        let kind = if request.writes { "write" } else { "read" };
        metrics::histogram!("resident_statement_seconds", "kind" => kind)
            .record(took.as_secs_f64());
    }

    fn fail_transaction(&mut self) {
        if let Some(transaction) = self.transaction.as_mut() {
            transaction.is_failed = true;
            transaction.lease = None;
        }
    }

    fn done(&mut self) {
        let state = self.state();
        self.channel.done(state);
    }

    fn refuse(&mut self, refusal: &SessionRefusal) {
        let state = self.state();
        self.channel.refuse(refusal, state);
    }

    fn state(&self) -> TransactionState {
        match &self.transaction {
            None => TransactionState::Idle,
            Some(transaction) if transaction.is_failed => TransactionState::Failed,
            Some(_) => TransactionState::Open,
        }
    }
}
