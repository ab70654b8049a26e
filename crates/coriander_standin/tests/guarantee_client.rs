//! Compatibility with the published client library `libsql` through two instances.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use common::fleet::{ACCOUNT, Fleet};
use coriander_standin::DeploymentProfile;
use hyper::client::HttpConnector;
use libsql::{Builder, Connection, TransactionBehavior, params};

async fn connect(fleet: &Fleet, instance: usize) -> Connection {
    let url = format!("http://{}", fleet.run.instances[instance].callers);
    let key = DeploymentProfile::account_key(ACCOUNT);
    let builder = Builder::new_remote(url, key).connector(HttpConnector::new());
    let database = builder.build().await.unwrap();
    database.connect().unwrap()
}

async fn count(connection: &Connection) -> i64 {
    let mut rows = connection
        .query("SELECT count(*) FROM items", ())
        .await
        .unwrap();
    rows.next().await.unwrap().unwrap().get(0).unwrap()
}

/// Guards against differences between the caller protocol and what the published client library
/// expects: queries with parameters, a batch, and interactive transactions, through the gateway of
/// the database and through an instance that forwards to it.
#[ntex::test]
async fn libsql_client_works_through_two_instances() {
    let fleet = Fleet::start().await;
    let gateway = fleet.gateway().await;
    let first = connect(&fleet, gateway).await;
    let second = connect(&fleet, (gateway + 1) % 3).await;

    let inserted = first
        .execute("INSERT INTO items (value) VALUES (?1)", params!["one"])
        .await;
    assert_eq!(inserted.unwrap(), 1);
    let sql = "SELECT id, value FROM items WHERE value = ?1";
    let mut rows = second.query(sql, params!["one"]).await.unwrap();
    let row = rows.next().await.unwrap().unwrap();
    assert_eq!(row.get::<i64>(0).unwrap(), 1);
    assert_eq!(row.get::<String>(1).unwrap(), "one");
    assert!(rows.next().await.unwrap().is_none());

    let batch = "INSERT INTO items (value) VALUES ('two');
                         INSERT INTO items (value) VALUES ('three');";
    second.execute_batch(batch).await.unwrap();
    assert_eq!(count(&first).await, 3);

    for connection in [&first, &second] {
        let before = count(connection).await;
        let transaction = connection
            .transaction_with_behavior(TransactionBehavior::Immediate)
            .await
            .unwrap();
        let insert = "INSERT INTO items (value) VALUES ('kept')";
        transaction.execute(insert, ()).await.unwrap();
        assert_eq!(count(&transaction).await, before + 1);
        transaction.commit().await.unwrap();

        let transaction = connection
            .transaction_with_behavior(TransactionBehavior::Immediate)
            .await
            .unwrap();
        let insert = "INSERT INTO items (value) VALUES ('rolled back')";
        transaction.execute(insert, ()).await.unwrap();
        transaction.rollback().await.unwrap();
        assert_eq!(count(connection).await, before + 1);
    }
    assert_eq!(count(&first).await, 5);

    let failed = second.query("SELECT * FROM missing", ()).await;
    assert!(
        failed.is_err(),
        "a statement error is returned to the caller"
    );
}
