use crate::scaffold::TestSite;

#[tokio::test]
async fn a_target_leaves_and_stays_after_all() {
    let site = TestSite::start().await;
    site.apply(&site.document, 0).await.done();
    let is_leaving = || {
        let object = site.platform.object("service", "haulage-1").unwrap();
        object.value.as_str().unwrap().contains("leaving = true")
    };
    site.ctl(&["drain", "haulage-1", "haulage-1-b"])
        .await
        .done();
    assert!(is_leaving());
    let undo = ["drain", "haulage-1", "haulage-1-b", "--undo"];
    site.ctl(&undo).await.done();
    assert!(!is_leaving());
    let unknown = ["--json", "drain", "haulage-1", "haulage-1-x"];
    let output = site.ctl(&unknown).await;
    assert_eq!(
        (output.code, &output.json()["kind"]),
        (Some(1), &"not_found".into())
    );
}

#[tokio::test]
async fn an_instance_leaves_and_stays_after_all() {
    let site = TestSite::start().await;
    site.ctl(&["drain"]).await.done();
    site.wait_for("draining", |status| status["draining"] == true)
        .await;
    site.ctl(&["drain", "--undo"]).await.done();
    site.wait_for("staying", |status| status["draining"] == false)
        .await;
}

#[tokio::test]
async fn the_status_is_told_in_tables_and_the_primary_changes_as_planned() {
    let site = TestSite::start().await;
    site.apply(&site.document, 0).await.done();
    let has_primary =
        |status: &serde_json::Value, name: &str| status["groups"][0]["primary"] == name;
    site.wait_for("a primary", |status| has_primary(status, "haulage-1-a"))
        .await;
    let arguments = ["--json", "switchover", "haulage-1", "--to", "haulage-1-b"];
    let result = site.ctl(&arguments).await.done().json();
    assert_eq!(result["primary"], "haulage-1-b");
    assert_eq!(site.group.targets[1].report().role.to_string(), "primary");
    site.wait_for("the new primary", |status| {
        has_primary(status, "haulage-1-b")
    })
    .await;
    let tables = site.ctl(&["status"]).await.done().stdout;
    for part in ["instance", "muscat-1", "haulage-1-b", "primary", "replica"] {
        assert!(tables.contains(part), "{part}: {tables}");
    }
}
