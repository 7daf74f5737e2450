use std::net::SocketAddr;
use std::time::Instant;

use hdrhistogram::Histogram;
use mustardhinge_standins::forward::DelayForwarder;
use tokio_postgres::{Client, Config, NoTls};

use super::Fleet;
use super::fleet_group::ANY_ADDRESS;
use crate::load::{OPEN_ROUTE, WORK_TABLE};

/// Reads on each way.
const READS: u32 = 300;

/// The latency that the proxy adds to a read, measured before the load begins.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct AddedLatency {
    pub(super) p50_us: f64,
    pub(super) p99_us: f64,
}

/// Reads one row in turn directly at a replica and through an instance, both
/// over the callers' delay.
pub(super) async fn measure_added_latency(
    fleet: &Fleet,
    row: &str,
) -> anyhow::Result<AddedLatency> {
    let group = &fleet.groups[0];
    let link = DelayForwarder::start(ANY_ADDRESS, group.targets[1].address()).await?;
    link.change_delays(|delays| delays.default_delay = fleet.profile.caller_delay);
    let mut direct_config = Config::new();
    direct_config.user("mustardhinge");
    let direct = connect(&mut direct_config, link.address()).await?;
    let mut config = Config::new();
    // A caller without key on an open route: no customer's rate is used up.
    config
        .user("anyone")
        .password("")
        .dbname(group.service.as_str());
    let endpoint = fleet.instances[0].lock().await.caller_address();
    let proxied = connect(&mut config, endpoint).await?;
    let statement =
        format!("/*route='{OPEN_ROUTE}'*/ SELECT v FROM {WORK_TABLE} WHERE k = '{row}'");
    let mut direct_times = Histogram::<u64>::new(3)?;
    let mut proxied_times = Histogram::<u64>::new(3)?;
    for _ in 0..READS {
        direct_times.record(time_read(&direct, &statement).await?)?;
        proxied_times.record(time_read(&proxied, &statement).await?)?;
    }
    link.shutdown().await;
    let added = |quantile| difference(&proxied_times, &direct_times, quantile);
    Ok(AddedLatency {
        p50_us: added(0.5),
        p99_us: added(0.99),
    })
}

#[expect(clippy::cast_precision_loss, reason = "latencies are far below 2^52")]
fn difference(proxied: &Histogram<u64>, direct: &Histogram<u64>, quantile: f64) -> f64 {
    proxied.value_at_quantile(quantile) as f64 - direct.value_at_quantile(quantile) as f64
}

async fn connect(config: &mut Config, address: SocketAddr) -> anyhow::Result<Client> {
    config.host(address.ip().to_string()).port(address.port());
    let (client, connection) = config.connect(NoTls).await?;
    tokio::spawn(connection);
    Ok(client)
}

async fn time_read(client: &Client, statement: &str) -> anyhow::Result<u64> {
    let start = Instant::now();
    client.simple_query(statement).await?;
    Ok(u64::try_from(start.elapsed().as_micros())?)
}
