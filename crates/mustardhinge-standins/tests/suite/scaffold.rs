use std::net::SocketAddr;
use std::time::Duration;

use mustardhinge_standins::target::{TargetGroup, TargetHandle, TargetServer};
use tokio_postgres::{Client, NoTls, SimpleQueryMessage};

/// The longest that a test waits for anything.
pub(crate) const PATIENCE: Duration = Duration::from_secs(5);

/// Starts a group of three targets.
pub(crate) async fn start_group() -> TargetGroup {
    let builder = TargetServer::builder("t").record_bytes(true);
    TargetGroup::start_uniform(&builder, 3).await.unwrap()
}

/// Connects to `address`.
pub(crate) async fn try_connect(address: SocketAddr) -> Result<Client, tokio_postgres::Error> {
    let mut config = tokio_postgres::Config::new();
    config.host(address.ip().to_string()).port(address.port());
    config.user("mustardhinge").dbname("haulage");
    let (client, connection) = config.connect(NoTls).await?;
    tokio::spawn(connection);
    Ok(client)
}

/// Connects to a target that answers.
pub(crate) async fn connect(target: &TargetHandle) -> Client {
    try_connect(target.address()).await.unwrap()
}

/// Runs a statement and returns its rows as text.
pub(crate) async fn query(client: &Client, text: &str) -> Result<Vec<Vec<String>>, String> {
    let answer = tokio::time::timeout(PATIENCE, client.simple_query(text)).await;
    let answer = answer.unwrap_or_else(|_| panic!("no answer in time: {text}"));
    let messages = answer.map_err(|error| {
        let state = error.code().map(|code| code.code().to_owned());
        state.unwrap_or_else(|| "closed".to_owned())
    })?;
    let rows = messages.into_iter().filter_map(|message| match message {
        SimpleQueryMessage::Row(row) => {
            let values = (0..row.len()).map(|i| row.get(i).unwrap_or_default().to_owned());
            Some(values.collect())
        }
        _ => None,
    });
    Ok(rows.collect())
}

/// Waits until `is_true`, or panics when the patience ends.
pub(crate) async fn wait_until(what: &str, mut is_true: impl FnMut() -> bool) {
    let wait = async {
        while !is_true() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    let result = tokio::time::timeout(PATIENCE, wait).await;
    assert!(result.is_ok(), "never happened: {what}");
}

/// Tells whether `future` does not end for a while.
pub(crate) async fn is_stuck<T>(future: impl Future<Output = T>) -> bool {
    let short = Duration::from_millis(100);
    tokio::time::timeout(short, future).await.is_err()
}
