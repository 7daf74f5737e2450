use std::sync::Arc;
use std::time::{Duration, Instant};

use dropshot::{
    ApiDescription, ApiDescriptionRegisterError, Body, ClientErrorStatusCode, HttpError,
    HttpResponseOk, HttpResponseUpdatedNoContent, Path, Query, RequestContext, TypedBody, endpoint,
};
use http::{Response, StatusCode};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::platform_shared::PlatformShared;
use super::{CallKind, InstanceEntry, InstanceUpdate, ObjectUpdate, StoredObject};

/// The greatest size of a value, in bytes.
const MAX_VALUE_BYTES: usize = 1 << 20;
/// The longest that a watch waits.
const MAX_WAIT: Duration = Duration::from_secs(60);
/// How long a caller hears nothing if its answer is lost.
const LOST_ANSWER_WAIT: Duration = Duration::from_secs(60);

type Context = RequestContext<Arc<PlatformShared>>;

/// Returns the description of the API.
pub(super) fn describe() -> Result<ApiDescription<Arc<PlatformShared>>, ApiDescriptionRegisterError>
{
    let mut api = ApiDescription::new();
    api.register(get_object)?;
    api.register(put_object)?;
    api.register(list_objects)?;
    api.register(watch_objects)?;
    api.register(list_instances)?;
    api.register(put_instance)?;
    Ok(api)
}

/// The place of one object.
#[derive(Deserialize, JsonSchema)]
struct ObjectPath {
    kind: String,
    name: String,
}

/// The kind of many objects.
#[derive(Deserialize, JsonSchema)]
struct KindPath {
    kind: String,
}

/// The place of one instance.
#[derive(Deserialize, JsonSchema)]
struct InstancePath {
    instance: String,
}

/// What a watch knows, and how long it waits.
#[derive(Deserialize, JsonSchema)]
struct WatchQuery {
    after: Option<u64>,
    wait_ms: Option<u32>,
}

/// Objects as of a revision.
#[derive(Serialize, JsonSchema)]
struct ObjectsAnswer {
    revision: u64,
    objects: Vec<StoredObject>,
}

/// Instances as of a revision.
#[derive(Serialize, JsonSchema)]
struct InstancesAnswer {
    revision: u64,
    instances: Vec<InstanceEntry>,
}

/// The version in force after an update, and the operation if it is another.
#[derive(Serialize)]
struct UpdateAnswer {
    version: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    operation_id: Option<String>,
}

impl WatchQuery {
    fn deadline(&self) -> Instant {
        let wait = Duration::from_millis(self.wait_ms.unwrap_or(0).into());
        Instant::now() + wait.min(MAX_WAIT)
    }
}

#[endpoint { method = GET, path = "/objects/{kind}/{name}" }]
async fn get_object(
    context: Context,
    path: Path<ObjectPath>,
) -> Result<HttpResponseOk<StoredObject>, HttpError> {
    let shared = begin_call(&context, CallKind::Get).await?;
    let ObjectPath { kind, name } = path.into_inner();
    let object = shared.read(Instant::now(), |state| {
        state.store.get(&kind, &name).cloned()
    });
    hold_up_answer(shared).await;
    let missing = || HttpError::for_not_found(None, format!("no {kind} named {name}"));
    object.map(HttpResponseOk).ok_or_else(missing)
}

#[endpoint { method = PUT, path = "/objects/{kind}/{name}" }]
async fn put_object(
    context: Context,
    path: Path<ObjectPath>,
    update: TypedBody<ObjectUpdate>,
) -> Result<Response<Body>, HttpError> {
    let shared = begin_call(&context, CallKind::Put).await?;
    let ObjectPath { kind, name } = path.into_inner();
    let update = update.into_inner();
    if update.value.to_string().len() > MAX_VALUE_BYTES {
        let status = ClientErrorStatusCode::PAYLOAD_TOO_LARGE;
        let message = format!("a value is at most {MAX_VALUE_BYTES} bytes");
        return Err(HttpError::for_client_error(None, status, message));
    }
    let result = shared.change(|store| store.update(&kind, &name, update));
    if result.is_ok() {
        lose_answer(shared).await;
    }
    hold_up_answer(shared).await;
    let (status, version, operation_id) = match result {
        Ok(version) => (StatusCode::OK, version, None),
        Err((version, operation_id)) => (StatusCode::CONFLICT, version, operation_id),
    };
    let answer = UpdateAnswer {
        version,
        operation_id,
    };
    let text = serde_json::to_string(&answer).map_err(internal_error)?;
    Response::builder()
        .status(status)
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(text.into())
        .map_err(internal_error)
}

#[endpoint { method = GET, path = "/objects/{kind}" }]
async fn list_objects(
    context: Context,
    path: Path<KindPath>,
) -> Result<HttpResponseOk<ObjectsAnswer>, HttpError> {
    let shared = begin_call(&context, CallKind::List).await?;
    let kind = path.into_inner().kind;
    let answer = shared.read(Instant::now(), |state| ObjectsAnswer {
        revision: state.store.revision(),
        objects: state.store.changed_after(&kind, 0),
    });
    hold_up_answer(shared).await;
    Ok(HttpResponseOk(answer))
}

#[endpoint { method = GET, path = "/watch/{kind}" }]
async fn watch_objects(
    context: Context,
    path: Path<KindPath>,
    query: Query<WatchQuery>,
) -> Result<HttpResponseOk<ObjectsAnswer>, HttpError> {
    let shared = begin_call(&context, CallKind::Watch).await?;
    let (kind, query) = (path.into_inner().kind, query.into_inner());
    let after = query.after.unwrap_or(0);
    let changed = shared.wait_for(query.deadline(), |state| {
        let objects = state.store.changed_after(&kind, after);
        let revision = state.store.revision();
        (!objects.is_empty()).then_some(ObjectsAnswer { revision, objects })
    });
    let answer = changed.await.unwrap_or_else(|| ObjectsAnswer {
        revision: shared.read(Instant::now(), |state| state.store.revision()),
        objects: Vec::new(),
    });
    hold_up_answer(shared).await;
    Ok(HttpResponseOk(answer))
}

#[endpoint { method = GET, path = "/instances" }]
async fn list_instances(
    context: Context,
    query: Query<WatchQuery>,
) -> Result<HttpResponseOk<InstancesAnswer>, HttpError> {
    let shared = begin_call(&context, CallKind::Instances).await?;
    let query = query.into_inner();
    let after = query.after.unwrap_or(0);
    let changed = shared.wait_for(query.deadline(), |state| {
        (state.instances.revision() > after).then_some(())
    });
    changed.await;
    let answer = shared.read(Instant::now(), |state| InstancesAnswer {
        revision: state.instances.revision(),
        instances: state.instances.entries(),
    });
    hold_up_answer(shared).await;
    Ok(HttpResponseOk(answer))
}

#[endpoint { method = PUT, path = "/instances/{instance}" }]
async fn put_instance(
    context: Context,
    path: Path<InstancePath>,
    update: TypedBody<InstanceUpdate>,
) -> Result<HttpResponseUpdatedNoContent, HttpError> {
    let instance = path.into_inner().instance;
    let update = update.into_inner();
    let entry = InstanceEntry {
        instance: instance.clone(),
        zone: update.zone,
        agent_address: update.agent_address,
        state: update.state,
    };
    let shared = context.context();
    shared.change_instance(&instance, Some(entry), Instant::now());
    Ok(HttpResponseUpdatedNoContent())
}

/// Counts a call, and delays or fails it if a fault switch asks for it.
async fn begin_call(context: &Context, kind: CallKind) -> Result<&Arc<PlatformShared>, HttpError> {
    let shared = context.context();
    shared.count(kind);
    let faults = shared.faults.borrow().clone();
    sleep_ms(faults.slow_ms).await;
    if faults.failing {
        let message = "the platform is failing".to_owned();
        return Err(HttpError::for_unavail(None, message));
    }
    Ok(shared)
}

/// Delays an answer after the effect.
async fn hold_up_answer(shared: &PlatformShared) {
    let late_ms = shared.faults.borrow().late_ms;
    sleep_ms(late_ms).await;
}

/// Lets the caller hear nothing if the answer is to be lost.
async fn lose_answer(shared: &PlatformShared) {
    let is_lost = shared.faults.send_if_modified(|faults| {
        let is_lost = faults.lose_answers > 0;
        faults.lose_answers = faults.lose_answers.saturating_sub(1);
        is_lost
    });
    if is_lost {
        tokio::time::sleep(LOST_ANSWER_WAIT).await;
    }
}

async fn sleep_ms(millis: u32) {
    if millis > 0 {
        tokio::time::sleep(Duration::from_millis(millis.into())).await;
    }
}

fn internal_error(error: impl std::error::Error) -> HttpError {
    HttpError::for_internal_error(error.to_string())
}
