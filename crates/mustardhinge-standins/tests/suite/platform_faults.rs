use std::time::{Duration, Instant};

use reqwest::StatusCode;
use serde_json::json;

use crate::platform::{start, try_put};
use crate::scaffold::is_stuck;

#[tokio::test]
async fn down_refuses_calls_and_keeps_the_objects() {
    let platform = start().await;
    try_put(&platform, "a", 0, json!(1)).await.unwrap();
    platform.set_down(true);
    assert!(try_put(&platform, "a", 1, json!(2)).await.is_err());
    platform.set_down(false);
    let answer = try_put(&platform, "a", 1, json!(3)).await.unwrap();
    assert_eq!(answer.status(), StatusCode::OK);
}

#[tokio::test]
async fn a_lost_answer_comes_after_the_effect() {
    let platform = start().await;
    platform.change_faults(|faults| faults.lose_answers = 1);
    assert!(is_stuck(try_put(&platform, "a", 0, json!(1))).await);
    assert_eq!(platform.object("service", "a").unwrap().value, json!(1));
    let answer = try_put(&platform, "a", 1, json!(2)).await.unwrap();
    assert_eq!(answer.status(), StatusCode::OK);
}

#[tokio::test]
async fn a_frozen_platform_answers_nothing() {
    let platform = start().await;
    platform.set_frozen(true);
    let update = try_put(&platform, "a", 0, json!(1));
    tokio::pin!(update);
    assert!(is_stuck(&mut update).await);
    assert!(platform.object("service", "a").is_none());
    platform.set_frozen(false);
    update.await.unwrap();
}

#[tokio::test]
async fn failing_has_no_effect() {
    let platform = start().await;
    platform.change_faults(|faults| faults.failing = true);
    let answer = try_put(&platform, "a", 0, json!(1)).await.unwrap();
    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(platform.object("service", "a").is_none());
}

#[tokio::test]
async fn slow_comes_before_the_effect_and_late_after_it() {
    let platform = start().await;
    for (slow_ms, late_ms, version) in [(300, 0, 0), (0, 300, 1)] {
        platform.change_faults(|faults| (faults.slow_ms, faults.late_ms) = (slow_ms, late_ms));
        let begin = Instant::now();
        let update = try_put(&platform, "a", version, json!(version));
        tokio::pin!(update);
        assert!(is_stuck(&mut update).await);
        let object = platform.object("service", "a");
        let is_changed = object.is_some_and(|object| object.value == json!(version));
        assert_eq!(is_changed, late_ms > 0);
        update.await.unwrap();
        assert!(begin.elapsed() >= Duration::from_millis(300));
    }
}
