use super::cluster::{caller, connect, first_column, haulage_fleet, sqlstate};

#[tokio::test]
async fn a_transaction_is_atomic() {
    let fleet = haulage_fleet().await;
    let address = fleet.instances[0].address;
    let mut client = connect(&caller(address)).await.unwrap();
    let transaction = client.transaction().await.unwrap();
    transaction
        .execute("INSERT INTO moves (k, v) VALUES ($1, $2)", &[&"m1", &"a"])
        .await
        .unwrap();
    transaction.rollback().await.unwrap();
    let transaction = client.transaction().await.unwrap();
    transaction
        .execute("INSERT INTO moves (k, v) VALUES ($1, $2)", &[&"m2", &"b"])
        .await
        .unwrap();
    transaction.commit().await.unwrap();
    let seen = first_column(&client, "SELECT k FROM moves").await;
    assert_eq!(seen, ["m2"]);
}

#[tokio::test]
async fn a_disconnect_rolls_back_the_open_transaction() {
    let fleet = haulage_fleet().await;
    let address = fleet.instances[0].address;
    let client = connect(&caller(address)).await.unwrap();
    client.simple_query("BEGIN").await.unwrap();
    client
        .simple_query("INSERT INTO moves (k, v) VALUES ('m1', 'a')")
        .await
        .unwrap();
    drop(client);
    let other = connect(&caller(address)).await.unwrap();
    other
        .simple_query("INSERT INTO moves (k, v) VALUES ('m1', 'b')")
        .await
        .unwrap();
    let seen = first_column(&other, "SELECT v FROM moves").await;
    assert_eq!(seen, ["b"]);
}

#[tokio::test]
async fn a_failed_transaction_rejects_statements_until_its_end() {
    let fleet = haulage_fleet().await;
    let client = connect(&caller(fleet.instances[0].address)).await.unwrap();
    client.simple_query("BEGIN").await.unwrap();
    client.simple_query("SELEKT").await.unwrap_err();
    let error = client.simple_query("SELECT 1").await.unwrap_err();
    assert_eq!(sqlstate(&error), "25P02");
    client.simple_query("ROLLBACK").await.unwrap();
    client.simple_query("SELECT 1").await.unwrap();
}

#[tokio::test]
async fn prepared_statements_outlive_their_connection() {
    let fleet = haulage_fleet().await;
    let client = connect(&caller(fleet.instances[0].address)).await.unwrap();
    let insert = client
        .prepare("INSERT INTO moves (k, v) VALUES ($1, $2)")
        .await
        .unwrap();
    let select = client
        .prepare("SELECT v FROM moves WHERE k = $1")
        .await
        .unwrap();
    for number in 0..8 {
        let key = format!("m{number}");
        client.execute(&insert, &[&key, &"x"]).await.unwrap();
        let rows = client.query(&select, &[&key]).await.unwrap();
        assert_eq!(rows[0].get::<_, String>(0), "x");
    }
}
