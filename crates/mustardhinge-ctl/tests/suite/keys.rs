use mustardhinge_core::key::KeyDigest;

use crate::scaffold::{TestSite, ctl, ctl_at};

const KEY: &str = "tanker-key-9f27";

#[tokio::test]
async fn the_digest_of_a_key_is_printed_and_the_key_is_not() {
    let output = ctl(&["key-digest"], "secret\n").await.done();
    let known = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b";
    assert_eq!(output.stdout.trim_end(), known);
    assert_eq!(ctl(&["key-digest"], "").await.code, Some(2));
    let lines = ctl(&["key-digest"], "key-a\nkey-b\n").await;
    assert_eq!(lines.code, Some(2));
    assert!(!lines.stderr.contains("key-"));
}

#[tokio::test]
async fn a_withdrawn_key_leaves_the_document() {
    let site = TestSite::start().await;
    let digest = KeyDigest::of(KEY.as_bytes()).to_string();
    let key_line = site.document.lines().find(|line| line.starts_with("keys"));
    let keys = format!("keys = [\"{digest}\"]");
    let document = site.document.replacen(key_line.unwrap(), &keys, 1);
    site.apply(&document, 0).await.done();
    let address = site.agent.operator_address();
    let arguments = ["withdraw-key", "haulage-1", "seeb"];
    let output = ctl_at(address, &arguments, KEY).await.done();
    assert!(!output.stdout.contains(KEY) && !output.stdout.contains(&digest));
    let in_force = site.platform.object("service", "haulage-1").unwrap();
    assert!(!in_force.value.as_str().unwrap().contains(&digest));
    let again = ctl_at(
        address,
        &["--json", "withdraw-key", "haulage-1", "seeb"],
        KEY,
    )
    .await;
    assert_eq!(again.code, Some(1));
    assert_eq!(again.json()["kind"], "not_found");
}
