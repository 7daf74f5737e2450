use std::future::{Future, poll_fn};
use std::net::SocketAddr;
use std::pin::pin;
use std::task::Poll;
use std::time::Duration;

use mustardhinge_core::prelude::*;
use tokio::net::TcpStream;
use tokio_postgres::tls::NoTlsStream;
use tokio_postgres::{Client, Config, Connection, NoTls, SimpleQueryMessage};

use super::{SessionPlan, StatementError};

/// The time that a caller waits for a connection or an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(6);

/// The startup parameter that names the session.
const SESSION_PARAMETER: &str = "mustardhinge.session";

/// The parameter that carries the read token, both ways.
const TOKEN_PARAMETER: &str = "mustardhinge.token";

/// The user name of callers without a key.
const KEYLESS_USER: &str = "anyone";

/// A caller's connection to one instance.
///
/// The connection is driven only while a statement runs, in the same task, so
/// that a token reported before an answer is known when the answer is.
pub struct CallerConnection {
    client: Client,
    connection: Connection<TcpStream, NoTlsStream>,
}

impl CallerConnection {
    /// Connects a session to `address`, with its read token if it shows one.
    ///
    /// # Errors
    ///
    /// Fails with what the instance answered, or that it did not in time.
    pub async fn open(
        address: SocketAddr,
        plan: &SessionPlan,
        token: Option<&str>,
    ) -> Result<Self, StatementError> {
        let config = make_config(plan, token);
        let open = async {
            let stream = TcpStream::connect(address)
                .await
                .map_err(|error| StatementError::Broken(error.to_string()))?;
            stream.set_nodelay(true).ok();
            config
                .connect_raw(stream, NoTls)
                .await
                .map_err(|error| StatementError::from_driver(&error))
        };
        let (client, connection) = tokio::time::timeout(ANSWER_TIMEOUT, open)
            .await
            .map_err(|_| StatementError::Broken("no answer to the startup".to_owned()))??;
        Ok(Self { client, connection })
    }

    /// Returns the read token that the instance last reported.
    #[must_use]
    pub fn get_token(&self) -> Option<&str> {
        self.connection.parameter(TOKEN_PARAMETER)
    }

    /// Returns whether the connection has ended.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.client.is_closed()
    }

    /// Runs a statement; returns the first column of each row.
    ///
    /// # Errors
    ///
    /// Fails with the class of outcome that the answer states.
    pub async fn run(&mut self, statement: &str) -> Result<Vec<String>, StatementError> {
        let Self { client, connection } = self;
        let query = drive(connection, client.simple_query(statement));
        let messages = tokio::time::timeout(ANSWER_TIMEOUT, query)
            .await
            .map_err(|_| StatementError::Broken("no answer".to_owned()))??;
        let first_column = |message: SimpleQueryMessage| match message {
            SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
            _ => None,
        };
        Ok(messages.into_iter().filter_map(first_column).collect())
    }
}

fn make_config(plan: &SessionPlan, token: Option<&str>) -> Config {
    let mut options = format!("-c {SESSION_PARAMETER}={}", plan.session);
    if let Some(token) = token {
        options.push_str(&format!(" -c {TOKEN_PARAMETER}={token}"));
    }
    let mut config = Config::new();
    config
        .user(
            plan.customer
                .as_ref()
                .map_or(KEYLESS_USER, CustomerId::as_str),
        )
        .password(&plan.key)
        .dbname(plan.service.as_str())
        .options(options);
    config
}

/// Drives a connection until an answer on it is there.
async fn drive<T>(
    connection: &mut Connection<TcpStream, NoTlsStream>,
    answer: impl Future<Output = Result<T, tokio_postgres::Error>>,
) -> Result<T, StatementError> {
    let mut answer = pin!(answer);
    let mut ending = None;
    poll_fn(|context| {
        while ending.is_none() {
            match connection.poll_message(context) {
                Poll::Ready(Some(Ok(_))) => {}
                Poll::Ready(Some(Err(error))) => ending = Some(StatementError::from_driver(&error)),
                Poll::Ready(None) => ending = Some(StatementError::Broken("closed".to_owned())),
                Poll::Pending => break,
            }
        }
        match (answer.as_mut().poll(context), &ending) {
            (Poll::Ready(Ok(value)), _) => Poll::Ready(Ok(value)),
            (Poll::Ready(Err(error)), None) => {
                Poll::Ready(Err(StatementError::from_driver(&error)))
            }
            (Poll::Ready(Err(error)), Some(ending)) if error.is_closed() => {
                Poll::Ready(Err(ending.clone()))
            }
            (Poll::Ready(Err(error)), Some(_)) => {
                Poll::Ready(Err(StatementError::from_driver(&error)))
            }
            (Poll::Pending, Some(ending)) => Poll::Ready(Err(ending.clone())),
            (Poll::Pending, None) => Poll::Pending,
        }
    })
    .await
}
