//! A platform that is reached by HTTP with JSON bodies.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::Full;
use serde::{Serialize, de::DeserializeOwned};
use serde_json::json;

use crate::{
    net::exchange,
    platform::{Platform, PlatformError, expect, malformed},
};

/// Longest wait for one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// What all bodies are, objects included: the platform does not look into them.
const CONTENT_TYPE: &str = "application/json";

/// Returns the functions of the platform at an address.
#[must_use]
pub fn http_platform(address: &str) -> Platform {
    let base: Arc<str> = address.into();
    let (read, scan, commit) = (Arc::clone(&base), Arc::clone(&base), Arc::clone(&base));
    let (get, put) = (Arc::clone(&base), base);
    Platform {
        read: Arc::new(move |key| {
            let base = Arc::clone(&read);
            Box::pin(async move { post(&base, "/table/read", &json!({ "key": key })).await })
        }),
        scan: Arc::new(move |prefix| {
            let base = Arc::clone(&scan);
            Box::pin(async move { post(&base, "/table/scan", &json!({ "prefix": prefix })).await })
        }),
        commit: Arc::new(move |conditions, writes| {
            let base = Arc::clone(&commit);
            let body = json!({ "conditions": conditions, "writes": writes });
            Box::pin(async move { post(&base, "/table/commit", &body).await })
        }),
        get: Arc::new(move |name| {
            let base = Arc::clone(&get);
            Box::pin(async move { get_object(&base, &name).await })
        }),
        put: Arc::new(move |name, content| {
            let base = Arc::clone(&put);
            Box::pin(async move { put_object(&base, &name, content).await })
        }),
    }
}

async fn post<T: DeserializeOwned>(
    base: &str,
    path: &str,
    body: &impl Serialize,
) -> Result<T, PlatformError> {
    let body = serde_json::to_vec(body).map_err(malformed)?;
    let (status, content) = call(base, Method::POST, path, body.into()).await?;
    expect(status)?;
    serde_json::from_slice(&content).map_err(malformed)
}

async fn get_object(base: &str, name: &str) -> Result<Option<Bytes>, PlatformError> {
    let path = format!("/objects/{name}");
    let (status, content) = call(base, Method::GET, &path, Bytes::new()).await?;
    if status == StatusCode::NOT_FOUND {
        return Ok(None);
    }
    expect(status)?;
    Ok(Some(content))
}

async fn put_object(base: &str, name: &str, content: Bytes) -> Result<(), PlatformError> {
    let path = format!("/objects/{name}");
    let (status, _) = call(base, Method::PUT, &path, content).await?;
    expect(status)
}

async fn call(
    base: &str,
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<(StatusCode, Bytes), PlatformError> {
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(header::HOST, base)
        .header(header::CONTENT_TYPE, CONTENT_TYPE)
        .body(Full::new(body))
        .map_err(malformed)?;
    exchange(base, request, CALL_TIMEOUT)
        .await
        .map_err(PlatformError::from)
}
