use mustardhinge_core::prelude::*;

use super::{
    AGED_ROUTE, CONFIRM_ROUTE, CallerConnection, NEWEST_ROUTE, OPEN_ROUTE, ORDER_ROUTE,
    REASSIGN_ROUTE, StatementError, WORK_TABLE,
};
use crate::history::OperationKind;

/// The bytes of each row that a read on an open route asks for.
const OPEN_ROW_BYTES: u32 = 100;

/// Sends an operation over a connection; returns the values read.
pub(super) async fn send_operation(
    connection: &mut CallerConnection,
    kind: &OperationKind,
    request: Option<&RequestId>,
) -> Result<Vec<String>, StatementError> {
    match kind {
        OperationKind::Confirmation { key, value } => {
            let tag = make_tag(CONFIRM_ROUTE, request);
            connection.run(&make_update(&tag, key, value)).await
        }
        OperationKind::Order { key, value } => {
            let tag = make_tag(ORDER_ROUTE, request);
            connection.run(&make_update(&tag, key, value)).await
        }
        OperationKind::Reassignment { keys, value } => {
            send_transaction(connection, keys, value).await
        }
        OperationKind::NewestRead { key, .. } => {
            let tag = make_tag(NEWEST_ROUTE, request);
            connection.run(&make_select(&tag, key)).await
        }
        OperationKind::AgedRead { key } => {
            let tag = make_tag(AGED_ROUTE, request);
            connection.run(&make_select(&tag, key)).await
        }
        OperationKind::OpenRead { rows } => {
            let tag = make_tag(OPEN_ROUTE, request);
            let statement = format!("{tag} SELECT filler({rows}, {OPEN_ROW_BYTES})");
            connection.run(&statement).await
        }
    }
}

async fn send_transaction(
    connection: &mut CallerConnection,
    keys: &[String; 2],
    value: &str,
) -> Result<Vec<String>, StatementError> {
    let tag = make_tag(REASSIGN_ROUTE, None);
    let updates = keys.each_ref().map(|key| make_update(&tag, key, value));
    connection.run(&format!("{tag} BEGIN")).await?;
    for update in &updates {
        if let Err(error) = connection.run(update).await {
            connection.run("ROLLBACK").await.ok();
            return Err(error);
        }
    }
    connection.run(&format!("{tag} COMMIT")).await?;
    Ok(Vec::new())
}

fn make_tag(route: &str, request: Option<&RequestId>) -> String {
    match request {
        Some(request) => format!("/*route='{route}',request_id='{request}'*/"),
        None => format!("/*route='{route}'*/"),
    }
}

fn make_update(tag: &str, key: &str, value: &str) -> String {
    format!("{tag} UPDATE {WORK_TABLE} SET v = '{value}' WHERE k = '{key}'")
}

fn make_select(tag: &str, key: &str) -> String {
    format!("{tag} SELECT v FROM {WORK_TABLE} WHERE k = '{key}'")
}
