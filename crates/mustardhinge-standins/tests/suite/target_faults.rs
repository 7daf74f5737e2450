use std::net::{IpAddr, Ipv4Addr};
use std::time::{Duration, Instant};

use crate::scaffold::{connect, is_stuck, query, start_group, try_connect, wait_until};

const INSERT: &str = "INSERT INTO t (k, v) VALUES ('a', 'b')";

#[tokio::test]
async fn down_ends_connections_and_keeps_the_rows() {
    let group = start_group().await;
    let target = group.first();
    let (client, open) = (connect(target).await, connect(target).await);
    query(&client, INSERT).await.unwrap();
    query(&open, "BEGIN").await.unwrap();
    query(&open, "DELETE FROM t WHERE k = 'a'").await.unwrap();
    target.set_down(true);
    assert_eq!(query(&client, "SELECT 1").await.unwrap_err(), "closed");
    assert!(try_connect(target.address()).await.is_err());
    target.set_down(false);
    let rows = query(&connect(target).await, "SELECT v FROM t").await;
    assert_eq!(rows.unwrap(), [["b"]]);
}

#[tokio::test]
async fn a_frozen_target_goes_on_where_it_was() {
    let group = start_group().await;
    let target = group.first();
    let client = connect(target).await;
    target.set_frozen(true);
    let insert = query(&client, INSERT);
    tokio::pin!(insert);
    assert!(is_stuck(&mut insert).await);
    assert!(is_stuck(try_connect(target.address())).await);
    assert_eq!(target.value_of("t", "a"), None);
    target.set_frozen(false);
    insert.await.unwrap();
}

#[tokio::test]
async fn a_frozen_replica_takes_no_entries() {
    let group = start_group().await;
    let replica = &group.targets[1];
    replica.set_frozen(true);
    query(&connect(group.first()).await, INSERT).await.unwrap();
    let other = &group.targets[2];
    wait_until("the other has it", || other.value_of("t", "a").is_some()).await;
    assert_eq!(replica.value_of("t", "a"), None);
    replica.set_frozen(false);
    wait_until("it has it", || replica.value_of("t", "a").is_some()).await;
}

#[tokio::test]
async fn silent_connections_stay_silent_and_new_ones_work() {
    let group = start_group().await;
    let target = group.first();
    let client = connect(target).await;
    target.silence_connections();
    assert!(is_stuck(query(&client, INSERT)).await);
    query(&connect(target).await, "SELECT 1").await.unwrap();
    assert!(is_stuck(query(&client, "SELECT 1")).await);
    assert_eq!(target.value_of("t", "a"), None);
}

#[tokio::test]
async fn a_cut_peer_gets_nothing_until_the_cut_ends() {
    let group = start_group().await;
    let target = group.first();
    let client = connect(target).await;
    let peer = IpAddr::V4(Ipv4Addr::LOCALHOST);
    target.change_link(|link| {
        link.cut_peers.insert(peer);
    });
    let insert = query(&client, INSERT);
    tokio::pin!(insert);
    assert!(is_stuck(&mut insert).await);
    target.change_link(|link| link.cut_peers.clear());
    insert.await.unwrap();
}

#[tokio::test]
async fn a_lost_answer_comes_after_the_effect() {
    let group = start_group().await;
    let target = group.first();
    let client = connect(target).await;
    target.change_faults(|faults| faults.lose_commit_answers = 1);
    query(&client, "SELECT 1").await.unwrap();
    assert_eq!(query(&client, INSERT).await.unwrap_err(), "closed");
    assert_eq!(target.value_of("t", "a").as_deref(), Some("b"));
    let client = connect(target).await;
    query(&client, "DELETE FROM t WHERE k = 'a'").await.unwrap();
}

#[tokio::test]
async fn a_late_answer_comes_after_the_effect_and_a_slow_one_before_it() {
    let group = start_group().await;
    let target = group.first();
    let client = connect(target).await;
    target.change_faults(|faults| faults.late_ms = 300);
    let start = Instant::now();
    let insert = query(&client, INSERT);
    tokio::pin!(insert);
    assert!(is_stuck(&mut insert).await);
    assert_eq!(target.value_of("t", "a").as_deref(), Some("b"));
    insert.await.unwrap();
    assert!(start.elapsed() >= Duration::from_millis(300));
    target.change_faults(|faults| (faults.late_ms, faults.slow_ms) = (0, 300));
    let delete = query(&client, "DELETE FROM t WHERE k = 'a'");
    tokio::pin!(delete);
    assert!(is_stuck(&mut delete).await);
    assert_eq!(target.value_of("t", "a").as_deref(), Some("b"));
    delete.await.unwrap();
}

#[tokio::test]
async fn the_commit_position_comes_before_the_answer() {
    let group = start_group().await;
    let mut stream = tokio::net::TcpStream::connect(group.first().address())
        .await
        .unwrap();
    let bytes = raw_insert(&mut stream).await;
    let find = |needle: &[u8]| bytes.windows(needle.len()).position(|part| part == needle);
    let position = find(b"group_position\x001/2\0").unwrap();
    assert!(position < find(b"INSERT 0 1\0").unwrap());
}

/// Sends a startup message and an insert; returns all bytes of the answers.
async fn raw_insert(stream: &mut tokio::net::TcpStream) -> Vec<u8> {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let mut startup = vec![0, 0, 0, 0, 0, 3, 0, 0];
    startup.extend_from_slice(b"user\0mustardhinge\0\0");
    startup[3] = u8::try_from(startup.len()).unwrap();
    let mut message = vec![b'Q', 0, 0, 0, 0];
    message.extend_from_slice(INSERT.as_bytes());
    message.push(0);
    message[4] = u8::try_from(message.len() - 1).unwrap();
    stream.write_all(&startup).await.unwrap();
    stream.write_all(&message).await.unwrap();
    let mut bytes = Vec::new();
    while !bytes.ends_with(&[b'Z', 0, 0, 0, 5, b'I']) || !bytes.contains(&b'C') {
        assert!(stream.read_buf(&mut bytes).await.unwrap() > 0);
        if bytes.windows(10).any(|part| part == b"INSERT 0 1") {
            break;
        }
    }
    bytes
}
