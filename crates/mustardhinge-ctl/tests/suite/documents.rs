use crate::scaffold::{TestSite, ctl, write_file};

#[tokio::test]
async fn a_document_is_checked_without_an_agent() {
    let good = include_str!("../../../../examples/muscat/haulage-1.toml");
    let path = write_file(good);
    ctl(&["check", path.to_str().unwrap()], "").await.done();
    let bad = good
        .replace("rate = \"40/s\"", "rate = \"-40/s\"")
        .replace("[limits]", "[limits]\ncolour = 'red'");
    let path = write_file(&bad);
    let output = ctl(&["check", path.to_str().unwrap()], "").await;
    assert_eq!(output.code, Some(2));
    let file = path.to_str().unwrap();
    for part in [file, "line ", "colour", "rate"] {
        assert!(output.stderr.contains(part), "{part}: {}", output.stderr);
    }
    let output = ctl(&["--json", "check", path.to_str().unwrap()], "").await;
    assert!(output.json()["findings"].as_array().unwrap().len() >= 2);
}

#[tokio::test]
async fn a_document_is_applied_shown_and_compared() {
    let site = TestSite::start().await;
    let first = site.apply(&site.document, 0).await.done().json();
    let version = first["version"].as_u64().unwrap();
    let shown = site.ctl(&["show", "haulage-1"]).await.done().stdout;
    let (header, text) = shown.split_once('\n').unwrap();
    assert!(header.starts_with(&format!("# version {version}, ")));
    assert_eq!(text, site.document);
    let changed = site.document.replace("rate = \"40/s\"", "rate = \"41/s\"");
    let path = write_file(&changed);
    let arguments = ["--json", "diff", path.to_str().unwrap()];
    let diff = site.ctl(&arguments).await.done().json();
    let changes = diff["changes"].as_array().unwrap();
    assert!(!changes.is_empty());
    assert!(changes.iter().all(|change| {
        let path = change["key_path"].as_str().unwrap();
        path.ends_with(".rate") && change["change"] == "changed"
    }));
    let second = site.apply(&changed, version).await.done().json();
    assert!(second["version"].as_u64() > Some(version));
    let diff = site.ctl(&arguments).await.done().json();
    assert_eq!(diff["changes"], serde_json::json!([]));
}

#[tokio::test]
async fn a_conflict_names_what_differs() {
    let site = TestSite::start().await;
    site.apply(&site.document, 0).await.done();
    let changed = site.document.replace("rate = \"40/s\"", "rate = \"41/s\"");
    let path = write_file(&changed);
    let arguments = ["apply", path.to_str().unwrap(), "--expect", "0"];
    let output = site.ctl(&arguments).await;
    assert_eq!(output.code, Some(1));
    assert!(output.stderr.contains(".rate"), "{}", output.stderr);
    let output = site.apply(&changed, 0).await;
    assert_eq!(output.json()["kind"], "conflict");
    let in_force = site.platform.object("service", "haulage-1").unwrap();
    assert_eq!(in_force.value, site.document);
}

#[tokio::test]
async fn an_update_during_an_outage_of_the_platform_is_not_reported_as_done() {
    let site = TestSite::start().await;
    site.platform.set_down(true);
    let output = site.apply(&site.document, 0).await;
    assert_eq!(output.code, Some(1));
    let kind = output.json()["kind"].clone();
    assert!(kind == "not_run" || kind == "outcome_unknown", "{kind}");
    site.platform.set_down(false);
    site.apply(&site.document, 0).await.done();
}
