use std::io::Write;
use std::net::TcpListener;
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

const BINARY: &str = env!("CARGO_BIN_EXE_mustardhinge-agent");
const SAMPLE: &str = concat!(
    env!("CARGO_MANIFEST_DIR"),
    "/../../examples/muscat/agent.toml"
);

fn run(arguments: &[&str]) -> Output {
    Command::new(BINARY).args(arguments).output().unwrap()
}

/// Returns an address of the loopback that is free.
fn free_address() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap().to_string()
}

fn write_settings(name: &str, text: &str) -> String {
    let path = std::env::temp_dir().join(format!("{name}-{}.toml", std::process::id()));
    let mut file = std::fs::File::create(&path).unwrap();
    file.write_all(text.as_bytes()).unwrap();
    path.display().to_string()
}

fn wait_for_exit(child: &mut Child, bound: Duration) -> Option<i32> {
    let deadline = Instant::now() + bound;
    while Instant::now() < deadline {
        if let Some(status) = child.try_wait().unwrap() {
            return status.code();
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    child.kill().unwrap();
    None
}

#[test]
fn the_sample_settings_are_without_findings() {
    let output = run(&["--settings", SAMPLE, "--check"]);
    assert_eq!(output.status.code(), Some(0));
}

#[test]
fn findings_are_printed_and_end_with_their_code() {
    let path = write_settings("agent-findings", "instance = 'a'\ncolour = 1\n");
    let output = run(&["--settings", &path]);
    std::fs::remove_file(&path).unwrap();
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(2));
    assert!(
        text.contains("zone: missing") && text.contains("line 2"),
        "{text}"
    );
}

#[test]
fn a_stop_signal_ends_the_process_in_order() {
    let settings = format!(
        "instance = 'a'\nzone = 'z'\nlisten = '{}'\noperator = '{}'\nplatform = '{}'\n",
        free_address(),
        free_address(),
        free_address()
    );
    let path = write_settings("agent-stop", &settings);
    let mut child = Command::new(BINARY)
        .args(["--settings", &path])
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    std::thread::sleep(Duration::from_millis(500));
    let process_id = child.id().to_string();
    let kill = Command::new("kill").args(["-TERM", &process_id]).status();
    assert!(kill.unwrap().success());
    let code = wait_for_exit(&mut child, Duration::from_secs(10));
    std::fs::remove_file(&path).unwrap();
    assert_eq!(code, Some(0));
}
