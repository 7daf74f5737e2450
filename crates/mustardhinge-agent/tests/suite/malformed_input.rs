//! Malformed input on the ports of an agent, and malformed responses of the platform: they are refused
//! or ignored, and the agent still serves others.

use std::net::SocketAddr;
use std::time::Duration;

use mustardhinge_agent::AgentProcess;
use mustardhinge_config::settings::AgentSettings;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

use super::scaffold::{Fleet, control_state, wait_for_primary};

/// Timeout of a response.
const RESPONSE_BOUND: Duration = Duration::from_secs(10);

/// Sends bytes on a new connection, and returns the response.
async fn send(address: SocketAddr, request: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    // The port may close the connection before it has read everything.
    let _ = stream.write_all(request).await;
    let _ = stream.shutdown().await;
    let mut response = Vec::new();
    let ended = timeout(RESPONSE_BOUND, stream.read_to_end(&mut response)).await;
    assert!(ended.is_ok(), "connection stays open");
    String::from_utf8_lossy(&response).into_owned()
}

fn post(path: &str, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}

/// Guards against input on the ports for the entry, other agents and operators that ends the agent.
#[tokio::test]
async fn malformed_requests_do_not_end_the_agent() {
    let fleet = Fleet::start().await;
    let agent = fleet.start_agent(0, "").await;
    wait_for_primary(&agent, 0).await;
    let deep = "[".repeat(100_000);
    let call = r#"{"jsonrpc":"2.0","id":1,"method":"control_state","params":"#;
    let bodies = [
        "".to_owned(),
        "\0\u{1}".to_owned(),
        deep.clone(),
        format!("{call}[{{}}]}}"),
        format!("{call}{deep}"),
        format!(
            "{call}[{{\"agent_incarnation\":-1,\"known_revision\":1e400,\"wait_ms\":\"x\"}}]}}"
        ),
    ];
    let mut requests = vec![
        b"\0\xff\xfe\r\n\r\n".to_vec(),
        b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 18446744073709551616\r\n\r\n".to_vec(),
        b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\nffffffffffffffff\r\n"
            .to_vec(),
        [b"GET /", &vec![b'a'; 1_000_000][..]].concat(),
    ];
    for path in ["/", "/services/haulage-1", "/groups/haulage-1/switchover"] {
        requests.extend(bodies.iter().map(|body| post(path, body.as_bytes())));
    }
    for request in &requests {
        send(agent.address(), request).await;
        send(agent.operator_address(), request).await;
    }
    assert_eq!(control_state(&agent).await.groups.len(), 1);
    let status = b"GET /status HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    let status = send(agent.operator_address(), status).await;
    assert!(status.starts_with("HTTP/1.1 200"), "{status}");
    agent.stop().await;
}

/// Starts a platform that answers each connection with the same bytes, again and again if
/// `is_endless`.
async fn start_platform(response: &'static [u8], is_endless: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut request = [0; 4_096];
                let _ = stream.read(&mut request).await;
                while stream.write_all(response).await.is_ok() && is_endless {}
            });
        }
    });
    address
}

/// Guards against a response of the platform that ends the agent or uses up its memory.
#[tokio::test]
async fn malformed_responses_of_the_platform_do_not_end_the_agent() {
    for (response, is_endless) in [
        (&b"nonsense\r\n\r\n"[..], false),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]", false),
        (
            b"HTTP/1.1 200 OK\r\nContent-Length: 18446744073709551615\r\n\r\n{",
            false,
        ),
        (
            b"HTTP/1.1 200 OK\r\n\r\n                                ",
            true,
        ),
    ] {
        let platform = start_platform(response, is_endless).await;
        let settings = format!(
            "instance = 'muscat-1-a'\nzone = 'muscat-1'\nlisten = '127.0.0.1:0'\n\
             operator = '127.0.0.1:0'\nplatform = '{platform}'\nplatform_timeout_ms = 400\n"
        );
        let settings = AgentSettings::parse(&settings).unwrap();
        let agent = AgentProcess::builder().settings(settings).start();
        let agent = agent.await.unwrap();
        sleep(Duration::from_millis(800)).await;
        assert!(control_state(&agent).await.groups.is_empty());
        agent.stop().await;
    }
}
