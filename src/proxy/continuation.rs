//! A long response whose body breaks is continued at another target. If none returns the remainder, the
//! body ends with an error that the caller sees.

use std::sync::Arc;

use bytes::Bytes;
use futures::stream;
use http::{HeaderMap, HeaderValue, Response, StatusCode, header, response::Parts};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;

use crate::{
    fleet::{Body, BoxError, box_body, empty},
    proxy::{
        crossing::Reach,
        request_context::{AttemptOutcome, RequestContext},
        version_choice::continuing_versions,
    },
};

/// Maximum number of requests for the remainder of one response.
const MAX_CONTINUATIONS: u32 = 3;

/// The state of a response body that is being streamed to the caller.
struct Progress {
    context: RequestContext,
    etag: HeaderValue,
    /// Length of the whole response body in bytes.
    length: u64,
    /// Number of bytes that were passed to the caller.
    sent: u64,
    body: Body,
    /// Targets that are not asked for the remainder.
    excluded: Vec<Arc<str>>,
    continuations_left: u32,
}

/// Returns a body that is continued at another target when it breaks, or the body itself if the response
/// can't be continued.
pub(super) fn resumable_body(
    context: RequestContext,
    parts: &Parts,
    target: Arc<str>,
    body: Body,
) -> Body {
    let length = content_length(&parts.headers);
    let etag = strong_etag(&parts.headers);
    let (Some(length), Some(etag)) = (length, etag) else {
        return body;
    };
    if !context.is_resumable() || parts.status != StatusCode::OK {
        return body;
    }
    let progress = Progress {
        context,
        etag,
        length,
        sent: 0,
        body,
        excluded: vec![target],
        continuations_left: MAX_CONTINUATIONS,
    };
    box_body(StreamBody::new(stream::unfold(Some(progress), next_frame)))
}

type NextFrame = Option<(Result<Frame<Bytes>, BoxError>, Option<Progress>)>;

/// Returns the next data frame; if the body has broken, that of its remainder.
async fn next_frame(progress: Option<Progress>) -> NextFrame {
    let mut progress = progress?;
    loop {
        let error = match progress.body.frame().await {
            Some(Ok(frame)) => {
                let Some(data) = frame.data_ref() else {
                    continue;
                };
                progress.sent += data.len() as u64;
                return Some((Ok(frame), Some(progress)));
            }
            None if progress.sent == progress.length => return None,
            None => BoxError::from("the response body ended before its announced length"),
            Some(Err(error)) => error,
        };
        match request_remainder(&mut progress).await {
            Some(body) => progress.body = body,
            None => return Some((Err(error), None)),
        }
    }
}

/// Requests the remainder from other targets, and returns the first body that continues the same
/// representation.
async fn request_remainder(progress: &mut Progress) -> Option<Body> {
    while progress.continuations_left > 0
        && progress
            .context
            .core
            .ingress
            .acquire_retry(&progress.context)
            .await
    {
        progress.continuations_left -= 1;
        let context = progress.context.renewed();
        let versions = continuing_versions(&context.core, &context.matched.service.name);
        let target = context.core.ingress.choose_target(
            &context,
            &versions,
            &progress.excluded,
            &Reach::Anywhere,
        )?;
        progress.excluded.push(Arc::clone(&target.id));
        let mut headers = context.headers.clone();
        let range = HeaderValue::from_str(&format!("bytes={}-", progress.sent)).ok()?;
        headers.insert(header::RANGE, range);
        headers.insert(header::IF_RANGE, progress.etag.clone());
        let outcome = context
            .core
            .ingress
            .run_attempt(
                &context,
                &target,
                (1, true, context.rank),
                context.remaining(),
                (&headers, empty()),
            )
            .await;
        let response = match outcome {
            AttemptOutcome::RemoteResponse(response, _) => response.map(box_body),
            AttemptOutcome::LocalResponse(response) => response,
            AttemptOutcome::Refused(..) | AttemptOutcome::Unknown(_) => continue,
        };
        if is_remainder(&response, progress) {
            progress.context = context;
            return Some(response.into_body());
        }
    }
    None
}

/// Returns whether a response holds exactly the remainder of the same representation.
fn is_remainder(response: &Response<Body>, progress: &Progress) -> bool {
    let Progress {
        sent, length, etag, ..
    } = progress;
    let range = format!("bytes {sent}-{}/{length}", length - 1);
    let headers = response.headers();
    response.status() == StatusCode::PARTIAL_CONTENT
        && headers.get(header::ETAG) == Some(etag)
        && headers
            .get(header::CONTENT_RANGE)
            .is_some_and(|r| *r == range)
}

fn content_length(headers: &HeaderMap) -> Option<u64> {
    headers
        .get(header::CONTENT_LENGTH)?
        .to_str()
        .ok()?
        .parse()
        .ok()
}

/// Returns the `ETag` if it is a strong one, which guarantees that ranges belong to the same bytes.
fn strong_etag(headers: &HeaderMap) -> Option<HeaderValue> {
    let etag = headers.get(header::ETAG)?;
    etag.as_bytes().starts_with(b"\"").then(|| etag.clone())
}
