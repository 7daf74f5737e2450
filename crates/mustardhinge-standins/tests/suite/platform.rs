use std::time::Duration;

use mustardhinge_standins::platform::{CallKind, PlatformHandle, PlatformServer};
use proptest::prelude::*;
use reqwest::{Response, StatusCode};
use serde_json::{Value, json};

use crate::scaffold::is_stuck;

pub(crate) async fn start() -> PlatformHandle {
    PlatformServer::builder().start().await.unwrap()
}

pub(crate) async fn try_put(
    platform: &PlatformHandle,
    name: &str,
    expected_version: u64,
    value: Value,
) -> reqwest::Result<Response> {
    let url = format!("http://{}/objects/service/{name}", platform.address());
    let body = json!({
        "expected_version": expected_version,
        "operation_id": format!("op-{expected_version}"),
        "value": value,
    });
    reqwest::Client::new().put(url).json(&body).send().await
}

async fn put(platform: &PlatformHandle, name: &str, expected_version: u64) -> (StatusCode, Value) {
    let answer = try_put(platform, name, expected_version, json!("text"));
    let answer = answer.await.unwrap();
    (answer.status(), answer.json().await.unwrap())
}

async fn get(platform: &PlatformHandle, path: &str) -> Value {
    let url = format!("http://{}/{path}", platform.address());
    let answer = reqwest::get(url).await.unwrap();
    answer.json().await.unwrap()
}

#[tokio::test]
async fn an_update_needs_the_version_in_force() {
    let platform = start().await;
    assert_eq!(
        put(&platform, "a", 0).await,
        (StatusCode::OK, json!({"version": 1}))
    );
    let conflict = json!({"version": 1, "operation_id": "op-0"});
    assert_eq!(
        put(&platform, "a", 0).await,
        (StatusCode::CONFLICT, conflict)
    );
    let missing = json!({"version": 0});
    assert_eq!(
        put(&platform, "b", 9).await,
        (StatusCode::CONFLICT, missing)
    );
    put(&platform, "b", 0).await;
    assert_eq!(put(&platform, "a", 1).await.1, json!({"version": 3}));
    let object = get(&platform, "objects/service/a").await;
    assert_eq!(object["version"], 3);
    assert_eq!(object["value"], "text");
}

#[tokio::test]
async fn of_racing_updates_one_wins() {
    let platform = start().await;
    let race = (0..8).map(|_| put(&platform, "a", 0));
    let answers = futures::future::join_all(race).await;
    let won = answers.iter().filter(|answer| answer.0 == StatusCode::OK);
    assert_eq!(won.count(), 1);
}

#[tokio::test]
async fn a_watch_answers_as_soon_as_something_changed() {
    let platform = start().await;
    put(&platform, "a", 0).await;
    let known = get(&platform, "watch/service?after=0").await;
    assert_eq!(known["revision"], 1);
    let watch = get(&platform, "watch/service?after=1&wait_ms=20000");
    tokio::pin!(watch);
    assert!(is_stuck(&mut watch).await);
    put(&platform, "b", 0).await;
    let changed = watch.await;
    assert_eq!(changed["objects"][0]["name"], "b");
    assert_eq!(changed["objects"].as_array().unwrap().len(), 1);
    let short = get(&platform, "watch/service?after=2&wait_ms=30").await;
    assert_eq!(short, json!({"revision": 2, "objects": []}));
}

#[tokio::test]
async fn each_call_counts_and_a_watch_counts_once() {
    let platform = start().await;
    put(&platform, "a", 0).await;
    get(&platform, "objects/service/a").await;
    get(&platform, "objects/service").await;
    get(&platform, "watch/service?after=1&wait_ms=50").await;
    get(&platform, "instances").await;
    let calls = platform.calls();
    for kind in [
        CallKind::Put,
        CallKind::Get,
        CallKind::List,
        CallKind::Watch,
        CallKind::Instances,
    ] {
        assert_eq!(calls.of(kind), 1, "{kind:?}");
    }
    assert_eq!(calls.total(), 5);
}

#[tokio::test]
async fn a_value_above_the_limit_is_refused() {
    let platform = start().await;
    let value = json!("x".repeat(1 << 20));
    let answer = try_put(&platform, "a", 0, value).await.unwrap();
    assert_eq!(answer.status(), StatusCode::PAYLOAD_TOO_LARGE);
    let value = json!("x".repeat((1 << 20) - 2));
    let answer = try_put(&platform, "a", 0, value).await.unwrap();
    assert_eq!(answer.status(), StatusCode::OK);
}

#[tokio::test]
async fn the_list_of_instances_lags() {
    let platform = start().await;
    platform.set_instance_lag(Duration::from_millis(300));
    let url = format!("http://{}/instances/i-1", platform.address());
    let entry = json!({"zone": "z-1", "agent_address": "127.0.0.1:7000", "state": "live"});
    let answer = reqwest::Client::new().put(url).json(&entry).send().await;
    assert!(answer.unwrap().status().is_success());
    let before = get(&platform, "instances").await;
    assert_eq!(before, json!({"revision": 0, "instances": []}));
    let after = get(&platform, "instances?after=0&wait_ms=20000").await;
    assert_eq!(after["revision"], 1);
    assert_eq!(after["instances"][0]["state"], "live");
    assert_eq!(after["instances"][0]["instance"], "i-1");
}

proptest! {
    #[test]
    fn versions_only_grow(updates in proptest::collection::vec((0..3u8, 0..6u64), 1..40)) {
        let mut store = mustardhinge_standins::platform::ObjectStore::default();
        for (name, expected_version) in updates {
            let name = name.to_string();
            let before = store.get("service", &name).map_or(0, |object| object.version);
            let revision = store.revision();
            let update = mustardhinge_standins::platform::ObjectUpdate {
                expected_version,
                operation_id: "op".to_owned(),
                value: Value::Null,
            };
            let result = store.update("service", &name, update);
            prop_assert_eq!(result.is_ok(), before == expected_version);
            if let Ok(version) = result {
                prop_assert_eq!(version, revision + 1);
            }
        }
    }
}
