use std::net::SocketAddr;
use std::time::Duration;

use reqwest::{Client, Response, StatusCode};
use serde::Deserialize;
use serde::de::DeserializeOwned;

use super::{
    InstanceList, ObjectKind, ObjectList, ObjectUpdate, PlatformError, PutOutcome, StoredObject,
};
use mustardhinge_core::prelude::*;

/// Maximum number of idle connections to the platform.
const MAX_IDLE_CONNECTIONS: usize = 4;
/// Maximum size of a response in bytes: many documents of the maximum size. A platform that sends
/// without an end must not use up the memory.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Client of the platform's object API.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    http: Client,
    address: SocketAddr,
    timeout: Duration,
}

impl PlatformClient {
    /// Creates a client. Calls time out after `timeout`, watch calls after their
    /// wait plus `timeout`.
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP client cannot be built.
    pub fn new(address: SocketAddr, timeout: Duration) -> Result<Self, PlatformError> {
        let http = Client::builder()
            .no_proxy()
            .connect_timeout(timeout)
            .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS)
            .build()
            .map_err(|_| PlatformError::NotSent)?;
        Ok(Self {
            http,
            address,
            timeout,
        })
    }

    /// Reads an object.
    ///
    /// # Errors
    ///
    /// Returns an error if no valid response is received in time.
    pub async fn get_object(
        &self,
        kind: ObjectKind,
        name: &str,
    ) -> Result<Option<StoredObject>, PlatformError> {
        let path = format!("objects/{kind}/{name}");
        let request = self.http.get(self.url(&path)).timeout(self.timeout);
        let response = count("get", request.send().await)?;
        if response.status() == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        read_body(response).await.map(Some)
    }

    /// Updates an object if the expected version is current.
    ///
    /// # Errors
    ///
    /// Returns an error if no valid response is received in time; the update may
    /// still have taken effect.
    pub async fn put_object(
        &self,
        kind: ObjectKind,
        name: &str,
        update: &ObjectUpdate,
    ) -> Result<PutOutcome, PlatformError> {
        let path = format!("objects/{kind}/{name}");
        let request = self.http.put(self.url(&path)).json(update);
        let response = count("put", request.timeout(self.timeout).send().await)?;
        if response.status() == StatusCode::CONFLICT {
            let conflict: ConflictBody = decode(response).await?;
            return Ok(PutOutcome::Conflict {
                version: conflict.version,
                operation_id: conflict.operation_id,
            });
        }
        let accepted: AcceptedBody = read_body(response).await?;
        Ok(PutOutcome::Accepted(accepted.version))
    }

    /// Waits until an object of the kind has changed after a revision, or the
    /// wait expires.
    ///
    /// # Errors
    ///
    /// Returns an error if no valid response is received in time.
    pub async fn watch_objects(
        &self,
        kind: ObjectKind,
        after: u64,
        wait: Duration,
    ) -> Result<ObjectList, PlatformError> {
        let path = format!("watch/{kind}");
        self.watch("watch_objects", &path, after, wait).await
    }

    /// Waits until the list of instances has changed after a revision, or the
    /// wait expires.
    ///
    /// # Errors
    ///
    /// Returns an error if no valid response is received in time.
    pub async fn watch_instances(
        &self,
        after: u64,
        wait: Duration,
    ) -> Result<InstanceList, PlatformError> {
        self.watch("watch_instances", "instances", after, wait)
            .await
    }

    async fn watch<T: DeserializeOwned>(
        &self,
        call: &'static str,
        path: &str,
        after: u64,
        wait: Duration,
    ) -> Result<T, PlatformError> {
        let path = format!("{path}?after={after}&wait_ms={}", wait.as_millis());
        let request = self.http.get(self.url(&path));
        let response = request.timeout(wait + self.timeout).send().await;
        read_body(count(call, response)?).await
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}/{path}", self.address)
    }
}

#[derive(Deserialize)]
struct AcceptedBody {
    version: DocumentVersion,
}

#[derive(Deserialize)]
struct ConflictBody {
    version: DocumentVersion,
    #[serde(default)]
    operation_id: Option<OperationId>,
}

fn count(
    call: &'static str,
    response: Result<Response, reqwest::Error>,
) -> Result<Response, PlatformError> {
    let response = response.map_err(PlatformError::from);
    let result = match &response {
        Ok(response) if response.status().is_server_error() => "bad_status",
        Ok(_) => "answered",
        Err(error) => error.label(),
    };
    metrics::counter!("mustardhinge_platform_calls_total", "call" => call, "result" => result)
        .increment(1);
    response
}

async fn read_body<T: DeserializeOwned>(response: Response) -> Result<T, PlatformError> {
    let status = response.status();
    if !status.is_success() {
        return Err(PlatformError::BadStatus(status.as_u16()));
    }
    decode(response).await
}

/// Decodes a response of at most [`MAX_BODY_BYTES`].
async fn decode<T: DeserializeOwned>(mut response: Response) -> Result<T, PlatformError> {
    let mut body = Vec::new();
    while let Some(chunk) = response.chunk().await? {
        if body.len() + chunk.len() > MAX_BODY_BYTES {
            return Err(PlatformError::InvalidResponse);
        }
        body.extend_from_slice(&chunk);
    }
    // Bytes that are no text may be in a single entry of a list.
    let text = String::from_utf8_lossy(&body);
    serde_json::from_str(&text).map_err(|_| PlatformError::InvalidResponse)
}
