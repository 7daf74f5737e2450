use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use mustardhinge_standins::forward::{DelayForwarder, ForwardHandle};
use mustardhinge_standins::target::TargetGroup;

use crate::scaffold::{connect, is_stuck, query, start_group, try_connect};

const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

async fn start() -> (TargetGroup, ForwardHandle) {
    let group = start_group().await;
    let forwarder = DelayForwarder::start(ANY_PORT, group.first().address()).await;
    (group, forwarder.unwrap())
}

#[tokio::test]
async fn bytes_pass_whole_and_later() {
    let (_group, forwarder) = start().await;
    let client = try_connect(forwarder.address()).await.unwrap();
    forwarder.change_delays(|delays| delays.default_delay = Duration::from_millis(40));
    let begin = Instant::now();
    let rows = query(&client, "SELECT filler(5000, 200)").await.unwrap();
    assert!(begin.elapsed() >= Duration::from_millis(80), "both ways");
    assert_eq!(rows.len(), 5_000);
    assert!(rows.iter().all(|row| row[0].len() == 200));
}

#[tokio::test]
async fn the_delay_may_depend_on_the_caller() {
    let (_group, forwarder) = start().await;
    let peer = IpAddr::V4(Ipv4Addr::LOCALHOST);
    forwarder.change_delays(|delays| {
        delays.default_delay = Duration::from_secs(60);
        delays.peer_delays.insert(peer, Duration::ZERO);
    });
    try_connect(forwarder.address()).await.unwrap();
}

#[tokio::test]
async fn a_cut_holds_bytes_back() {
    let (_group, forwarder) = start().await;
    let client = try_connect(forwarder.address()).await.unwrap();
    let peer = IpAddr::V4(Ipv4Addr::LOCALHOST);
    forwarder.change_link(|link| {
        link.cut_peers.insert(peer);
    });
    let select = query(&client, "SELECT 1");
    tokio::pin!(select);
    assert!(is_stuck(&mut select).await);
    assert!(is_stuck(try_connect(forwarder.address())).await);
    forwarder.change_link(|link| link.cut_peers.clear());
    select.await.unwrap();
}

#[tokio::test]
async fn silent_connections_stay_silent_and_new_ones_work() {
    let (group, forwarder) = start().await;
    let client = try_connect(forwarder.address()).await.unwrap();
    forwarder.silence_connections();
    assert!(is_stuck(query(&client, "INSERT INTO t (k, v) VALUES ('a', 'b')")).await);
    let other = try_connect(forwarder.address()).await.unwrap();
    query(&other, "SELECT 1").await.unwrap();
    assert_eq!(group.first().value_of("t", "a"), None);
}

#[tokio::test]
async fn down_resets_connections() {
    let (group, forwarder) = start().await;
    let client = try_connect(forwarder.address()).await.unwrap();
    forwarder.change_link(|link| link.down = true);
    assert_eq!(query(&client, "SELECT 1").await.unwrap_err(), "closed");
    assert!(try_connect(forwarder.address()).await.is_err());
    connect(group.first()).await;
}
