use super::cluster::{SEEB_KEY, caller, connect, detail, haulage, haulage_fleet, sqlstate, start};
use mustardhinge_core::key::KeyDigest;
use mustardhinge_fleet::SmallFleet;

#[tokio::test]
async fn an_unknown_key_is_refused() {
    let fleet = haulage_fleet().await;
    let mut config = caller(fleet.instances[0].address);
    config.password("not-a-key-of-anyone");
    let error = connect(&config).await.unwrap_err();
    assert_eq!(sqlstate(&error), "28P01");
    assert!(detail(&error).contains("reason=key_rejected"));
}

#[tokio::test]
async fn an_unknown_service_is_refused() {
    let fleet = haulage_fleet().await;
    let mut config = caller(fleet.instances[0].address);
    config.dbname("no-such-service");
    let error = connect(&config).await.unwrap_err();
    assert_eq!(sqlstate(&error), "3D000");
}

#[tokio::test]
async fn without_a_key_only_open_routes_run() {
    let fleet = haulage_fleet().await;
    let mut config = caller(fleet.instances[0].address);
    config.password("");
    let client = connect(&config).await.unwrap();
    let open = "/*route='site-status'*/ SELECT v FROM sites WHERE k = 's1'";
    client.simple_query(open).await.unwrap();
    let error = client.simple_query("SELECT 1").await.unwrap_err();
    assert!(detail(&error).contains("reason=key_rejected"));
}

#[tokio::test]
async fn a_withdrawn_key_stops_on_an_open_connection() {
    let fleet = haulage_fleet().await;
    let client = connect(&caller(fleet.instances[0].address)).await.unwrap();
    client.simple_query("SELECT 1").await.unwrap();
    let mut document = fleet.documents[0].clone();
    for customer in &mut document.customers {
        customer
            .keys
            .retain(|key| *key != KeyDigest::of(SEEB_KEY.as_bytes()));
    }
    fleet.store_document(&document).unwrap();
    let mut refused = None;
    for _ in 0..150 {
        if let Err(error) = client.simple_query("SELECT 1").await {
            refused = Some(error);
            break;
        }
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
    let error = refused.expect("the key is refused within 3 s");
    assert!(detail(&error).contains("reason=key_rejected"), "{error:?}");
}

#[tokio::test]
async fn no_target_gets_a_byte_of_the_key() {
    let builder = SmallFleet::builder().service(haulage()).record_bytes(true);
    let fleet = start(builder).await;
    let client = connect(&caller(fleet.instances[0].address)).await.unwrap();
    client
        .simple_query("INSERT INTO pickups (k, v) VALUES ('p1', 'done')")
        .await
        .unwrap();
    let leak = format!("INSERT INTO pickups (k, v) VALUES ('p2', '{SEEB_KEY}')");
    let error = client.simple_query(&leak).await.unwrap_err();
    assert!(detail(&error).contains("reason=key_in_statement"));
    for target in &fleet.group("haulage-1").targets {
        let bytes = target.received_bytes();
        let key = SEEB_KEY.as_bytes();
        assert!(!bytes.windows(key.len()).any(|part| part == key));
    }
}

#[tokio::test]
async fn a_customer_stays_within_its_rate_on_open_routes_too() {
    let mut document = haulage();
    for customer in &mut document.customers {
        customer.rate = "1/s".parse().unwrap();
        customer.burst = "3req".parse().unwrap();
    }
    let fleet = start(SmallFleet::builder().service(document)).await;
    let client = connect(&caller(fleet.instances[0].address)).await.unwrap();
    let open = "/*route='site-status'*/ SELECT v FROM sites WHERE k = 's1'";
    let mut refused = 0;
    for _ in 0..20 {
        if let Err(error) = client.simple_query(open).await {
            assert!(detail(&error).contains("reason=rate_exceeded"));
            refused += 1;
        }
    }
    assert!(refused > 0, "20 requests at once are above 3 and 1/s");
}
