//! A platform with an HTTP API that exchanges JSON bodies.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering::Relaxed},
    },
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, Method, Request, StatusCode, header};
use http_body_util::Full;
use serde::{Serialize, de::DeserializeOwned};
use serde_json::json;

use crate::{
    net::{ExchangeLimits, fetch},
    platform::{Platform, PlatformError, check_status, malformed},
};

/// Time limits of one call. The chunk with all routes may take long over a slow link.
const CALL_LIMITS: ExchangeLimits =
    ExchangeLimits::stepwise(Duration::from_secs(2), Duration::from_secs(10));

/// The content type of all bodies; objects have it too, because the platform does not inspect them.
const CONTENT_TYPE: &str = "application/json";

/// An HTTP client for one address, which opens a new connection for each call.
#[derive(Clone)]
pub struct HttpClient {
    address: Arc<str>,
    limits: ExchangeLimits,
    /// The header that states the timeline of the platform, if it has one.
    timeline_header: Option<HeaderName>,
    timeline: Arc<AtomicU64>,
}

impl HttpClient {
    /// Creates a client whose calls have these time limits.
    #[must_use]
    pub fn new(address: &str, limits: ExchangeLimits) -> Self {
        Self {
            address: address.into(),
            limits,
            timeline_header: None,
            timeline: Arc::default(),
        }
    }

    /// Sets the header by which all answers state the timeline of the platform.
    #[must_use]
    pub fn with_timeline(self, header: HeaderName) -> Self {
        Self {
            timeline_header: Some(header),
            ..self
        }
    }

    /// Returns the newest timeline that an answer has stated, see [`Platform::timeline`].
    #[must_use]
    pub fn timeline(&self) -> u64 {
        self.timeline.load(Relaxed)
    }

    fn record_timeline(&self, headers: &HeaderMap) {
        let stated = self.timeline_header.as_ref().and_then(|h| headers.get(h));
        let Some(stated) = stated.and_then(|v| v.to_str().ok()) else {
            return;
        };
        match stated.trim().parse() {
            Ok(timeline) => drop(self.timeline.fetch_max(timeline, Relaxed)),
            Err(_) => spdlog::warn!("platform states a malformed timeline", kv: { stated }),
        }
    }

    /// Makes one call and returns the status and body of the answer.
    ///
    /// # Errors
    /// [`PlatformError`] when the platform cannot be reached or does not answer in time.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), PlatformError> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, &*self.address)
            .header(header::CONTENT_TYPE, CONTENT_TYPE)
            .body(Full::new(body))
            .map_err(malformed)?;
        let (head, content) = fetch(&self.address, request, self.limits)
            .await?
            .into_parts();
        self.record_timeline(&head.headers);
        Ok((head.status, content))
    }

    /// Returns the object at a path, or `None` if it does not exist.
    ///
    /// # Errors
    /// [`PlatformError`] when no answer comes or its status is an error.
    pub async fn get(&self, path: &str) -> Result<Option<Bytes>, PlatformError> {
        let (status, content) = self.call(Method::GET, path, Bytes::new()).await?;
        if status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        check_status(status)?;
        Ok(Some(content))
    }

    /// Writes the object at a path.
    ///
    /// # Errors
    /// [`PlatformError`] when no answer comes or its status is an error.
    pub async fn put(&self, path: &str, content: Bytes) -> Result<(), PlatformError> {
        let (status, _) = self.call(Method::PUT, path, content).await?;
        check_status(status)
    }
}

/// Creates a [`Platform`] that calls the platform at an address.
#[must_use]
pub fn http_platform(address: &str) -> Platform {
    let client = HttpClient::new(address, CALL_LIMITS);
    let (read, scan, commit) = (client.clone(), client.clone(), client.clone());
    let (get, put) = (client.clone(), client);
    Platform {
        timeline: Arc::new(|| 0),
        read: Arc::new(move |key| {
            let client = read.clone();
            Box::pin(async move { post(&client, "/table/read", &json!({ "key": key })).await })
        }),
        scan: Arc::new(move |prefix| {
            let client = scan.clone();
            Box::pin(
                async move { post(&client, "/table/scan", &json!({ "prefix": prefix })).await },
            )
        }),
        commit: Arc::new(move |conditions, writes| {
            let client = commit.clone();
            let body = json!({ "conditions": conditions, "writes": writes });
            Box::pin(async move { post(&client, "/table/commit", &body).await })
        }),
        get: Arc::new(move |name| {
            let client = get.clone();
            Box::pin(async move { client.get(&format!("/objects/{name}")).await })
        }),
        put: Arc::new(move |name, content| {
            let client = put.clone();
            Box::pin(async move { client.put(&format!("/objects/{name}"), content).await })
        }),
    }
}

async fn post<T: DeserializeOwned>(
    client: &HttpClient,
    path: &str,
    body: &impl Serialize,
) -> Result<T, PlatformError> {
    let body = serde_json::to_vec(body).map_err(malformed)?;
    let (status, content) = client.call(Method::POST, path, body.into()).await?;
    check_status(status)?;
    serde_json::from_slice(&content).map_err(malformed)
}
