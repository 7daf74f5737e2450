use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use anyhow::Context;
use mustardhinge_core::prelude::*;
use tokio::task::JoinHandle;
use tokio_postgres::{Client, Config, NoTls, SimpleQueryMessage};

use crate::SAMPLE_KEY;

/// The session of the driver, whichever instance it goes through.
const SESSION: &str = "driver-17";

/// A driver connected to one instance.
pub(crate) struct DemoCaller {
    client: Client,
    token: Arc<Mutex<Option<String>>>,
    connection: JoinHandle<()>,
}

impl DemoCaller {
    /// Connects to an instance, with the session's read token if it has one.
    pub(crate) async fn connect(
        address: SocketAddr,
        service: &ServiceId,
        token: Option<&str>,
    ) -> anyhow::Result<Self> {
        let token = token.unwrap_or("0/0");
        let options = format!("-c mustardhinge.session={SESSION} -c mustardhinge.token={token}");
        let mut config = Config::new();
        config
            .host(address.ip().to_string())
            .port(address.port())
            .user("driver")
            .password(SAMPLE_KEY)
            .dbname(service.as_str())
            .options(options);
        let (client, connection) = config.connect(NoTls).await.context("connecting")?;
        let token = Arc::new(Mutex::new(None));
        let connection = tokio::spawn(follow(connection, Arc::clone(&token)));
        Ok(Self {
            client,
            token,
            connection,
        })
    }

    /// Confirms a discharge, with a request id so that it lands once.
    pub(crate) async fn confirm(&self, key: &str, request: &str) -> anyhow::Result<()> {
        let statement = format!(
            "/*route='confirm',request_id='{request}'*/ \
             INSERT INTO discharges (k, v) VALUES ('{key}', 'done')"
        );
        self.client.simple_query(&statement).await?;
        Ok(())
    }

    /// Reads a discharge.
    pub(crate) async fn read(&self, key: &str) -> anyhow::Result<Option<String>> {
        let statement = format!("SELECT v FROM discharges WHERE k = '{key}'");
        let messages = self.client.simple_query(&statement).await?;
        Ok(messages.iter().find_map(|message| match message {
            SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
            _ => None,
        }))
    }

    /// Returns the read token that was last reported.
    pub(crate) fn token(&self) -> Option<String> {
        let token = self.token.lock().unwrap_or_else(PoisonError::into_inner);
        token.clone()
    }
}

impl Drop for DemoCaller {
    fn drop(&mut self) {
        self.connection.abort();
    }
}

type CallerConnection =
    tokio_postgres::Connection<tokio_postgres::Socket, tokio_postgres::tls::NoTlsStream>;

/// Drives a connection and notes the read tokens that it reports.
async fn follow(mut connection: CallerConnection, token: Arc<Mutex<Option<String>>>) {
    let mut next = std::future::poll_fn(move |context| {
        let polled = connection.poll_message(context);
        let reported = connection.parameter("mustardhinge.token");
        if let Some(reported) = reported {
            let mut token = token.lock().unwrap_or_else(PoisonError::into_inner);
            *token = Some(reported.to_owned());
        }
        polled
    });
    loop {
        match (&mut next).await {
            Some(Ok(_)) => {}
            Some(Err(_)) | None => return,
        }
    }
}
