use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Output};

use serde_json::{Value, json};

use crate::scaffold::{PATIENCE, query, try_connect};

const TARGET: &str = env!("CARGO_BIN_EXE_mustardhinge-target");
const PLATFORM: &str = env!("CARGO_BIN_EXE_mustardhinge-platform");

/// A process that ends with the test.
struct TestProcess(Child);

impl Drop for TestProcess {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

fn write_settings(name: &str, text: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("mustardhinge-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let path = folder.join(name);
    std::fs::write(&path, text).unwrap();
    path
}

fn start(program: &str, settings: &PathBuf) -> TestProcess {
    let mut command = Command::new(program);
    command.arg("--settings").arg(settings);
    TestProcess(command.spawn().unwrap())
}

fn run(program: &str, arguments: &[&str]) -> Output {
    Command::new(program).args(arguments).output().unwrap()
}

/// Calls until the process answers.
async fn call(method: reqwest::Method, url: String, body: Value) -> Value {
    let client = reqwest::Client::new();
    let call = async {
        loop {
            let request = client.request(method.clone(), &url).json(&body);
            match request.send().await {
                Ok(answer) => {
                    assert!(answer.status().is_success(), "{answer:?}");
                    let text = answer.text().await.unwrap();
                    return serde_json::from_str(&text).unwrap_or_default();
                }
                Err(_) => tokio::time::sleep(PATIENCE / 100).await,
            }
        }
    };
    tokio::time::timeout(PATIENCE, call).await.unwrap()
}

#[tokio::test]
async fn a_target_process_serves_and_takes_faults() {
    let (listen, control) = (free_address(), free_address());
    let text = format!(
        "name = 't-1'\nlisten = '{listen}'\ncontrol = '{control}'\n\
         [initial]\nterm = 1\nprimary = 't-1'\naddress = '{listen}'\n"
    );
    let settings = write_settings("target.toml", &text);
    let _process = start(TARGET, &settings);
    let state = call(
        reqwest::Method::GET,
        format!("http://{control}/state"),
        json!({}),
    )
    .await;
    assert_eq!(state["report"][1], "primary");
    let client = try_connect(listen).await.unwrap();
    query(&client, "INSERT INTO t (k, v) VALUES ('a', 'b')")
        .await
        .unwrap();
    let fault = json!({"link": {"down": true}});
    call(
        reqwest::Method::PUT,
        format!("http://{control}/fault"),
        fault,
    )
    .await;
    assert_eq!(query(&client, "SELECT 1").await.unwrap_err(), "closed");
    let unknown = json!({"link": {"dwon": true}});
    let answer = reqwest::Client::new().put(format!("http://{control}/fault"));
    let answer = answer.json(&unknown).send().await.unwrap();
    assert!(answer.status().is_client_error(), "unknown faults are told");
}

#[tokio::test]
async fn a_platform_process_serves_its_instances() {
    let (listen, control) = (free_address(), free_address());
    let text = format!(
        "listen = '{listen}'\ncontrol = '{control}'\n\
         [[instance]]\nname = 'i-1'\nzone = 'z-1'\nagent_address = '127.0.0.1:7000'\n"
    );
    let settings = write_settings("platform.toml", &text);
    let _process = start(PLATFORM, &settings);
    let list = call(
        reqwest::Method::GET,
        format!("http://{listen}/instances"),
        json!({}),
    )
    .await;
    assert_eq!(list["instances"][0]["instance"], "i-1");
    let state = call(
        reqwest::Method::GET,
        format!("http://{control}/state"),
        json!({}),
    )
    .await;
    assert_eq!(state["calls"]["by_kind"]["instances"], 1);
}

#[test]
fn the_command_line_has_its_exit_codes() {
    for program in [TARGET, PLATFORM] {
        assert_eq!(run(program, &["--help"]).status.code(), Some(0));
        assert_eq!(run(program, &["--version"]).status.code(), Some(0));
        assert_eq!(run(program, &[]).status.code(), Some(2));
        let settings = write_settings("wrong.toml", "listen = 'x'\n");
        let settings = settings.to_str().unwrap();
        let output = run(program, &["--check", "--settings", settings]);
        assert_eq!(output.status.code(), Some(2));
        assert!(String::from_utf8_lossy(&output.stderr).contains("wrong.toml"));
    }
}

#[test]
fn the_sample_settings_are_right() {
    let examples = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let mut count = 0;
    for deployment in ["muscat", "taiwan-north"] {
        for file in std::fs::read_dir(examples.join(deployment).join("standins")).unwrap() {
            let path = file.unwrap().path();
            let is_platform = path.ends_with("platform.toml");
            let program = if is_platform { PLATFORM } else { TARGET };
            let output = run(program, &["--check", "--settings", path.to_str().unwrap()]);
            assert_eq!(output.status.code(), Some(0), "{path:?}: {output:?}");
            count += 1;
        }
    }
    assert_eq!(count, 8);
}
