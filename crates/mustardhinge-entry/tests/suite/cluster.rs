//! Fleets and callers shared by the tests of this suite.

use std::net::SocketAddr;
use std::time::Duration;

use mustardhinge_config::document::ServiceDocument;
use mustardhinge_fleet::{FleetBuilder, SmallFleet};
use tokio_postgres::{Client, Config, NoTls, SimpleQueryMessage};

/// Timeout of every wait in a test.
pub(crate) const TEST_BOUND: Duration = Duration::from_secs(20);

/// Key of the customer `seeb`.
pub(crate) const SEEB_KEY: &str = "seeb-sample-key";

const HAULAGE: &str = include_str!("../../../../examples/muscat/haulage-1.toml");

/// Returns the sample document of the first haulage service, with rates so high that
/// no test exceeds them.
pub(crate) fn haulage() -> ServiceDocument {
    let mut document = ServiceDocument::parse(HAULAGE).expect("no findings");
    for customer in &mut document.customers {
        customer.rate = "100000/s".parse().expect("a rate");
        customer.burst = "100000req".parse().expect("a burst");
    }
    document
}

/// Starts a fleet and waits until it is ready.
pub(crate) async fn start(builder: FleetBuilder) -> SmallFleet {
    let fleet = builder.start().await.expect("the fleet starts");
    fleet
        .wait_until_ready(TEST_BOUND)
        .await
        .expect("the fleet serves");
    fleet
}

/// Starts a fleet that serves the first haulage service with two instances.
pub(crate) async fn haulage_fleet() -> SmallFleet {
    start(SmallFleet::builder().service(haulage()).instances(2)).await
}

/// Returns the connection settings of a caller with the key of `seeb`.
pub(crate) fn caller(address: SocketAddr) -> Config {
    let mut config = Config::new();
    config
        .host(address.ip().to_string())
        .port(address.port())
        .user("driver")
        .password(SEEB_KEY)
        .dbname("haulage-1");
    config
}

/// Connects a caller.
pub(crate) async fn connect(config: &Config) -> Result<Client, tokio_postgres::Error> {
    let (client, connection) = config.connect(NoTls).await?;
    tokio::spawn(connection);
    Ok(client)
}

/// Runs a simple query and returns the first column of its rows.
pub(crate) async fn first_column(client: &Client, text: &str) -> Vec<String> {
    let messages = client.simple_query(text).await.expect("the query runs");
    let rows = messages.iter().filter_map(|message| match message {
        SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
        _ => None,
    });
    rows.collect()
}

/// Returns the SQLSTATE of an error.
pub(crate) fn sqlstate(error: &tokio_postgres::Error) -> String {
    let code = error.code().expect("an error of the server");
    code.code().to_owned()
}

/// Returns the DETAIL of an error.
pub(crate) fn detail(error: &tokio_postgres::Error) -> String {
    let error = error.as_db_error().expect("an error of the server");
    error.detail().unwrap_or_default().to_owned()
}
