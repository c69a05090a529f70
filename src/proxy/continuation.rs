//! Long answers go on at another target when they break, or end so that the caller can tell.

use std::sync::Arc;

use bytes::Bytes;
use futures::stream;
use http::{HeaderMap, HeaderValue, Response, StatusCode, header, response::Parts};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;

use crate::{
    fleet::{Body, BoxError, box_body, empty},
    proxy::request_context::{AttemptOutcome, RequestContext},
};

/// Continuations of one answer, at most.
const MAX_CONTINUATIONS: u32 = 3;

struct Progress {
    context: RequestContext,
    tag: HeaderValue,
    length: u64,
    sent: u64,
    body: Body,
    tried: Vec<Arc<str>>,
    left: u32,
}

/// Returns a body that goes on elsewhere when it breaks, if the answer allows that.
pub(super) fn resumable_body(
    context: RequestContext,
    parts: &Parts,
    target: Arc<str>,
    body: Body,
) -> Body {
    let length = content_length(&parts.headers);
    let tag = strong_etag(&parts.headers);
    let (Some(length), Some(tag)) = (length, tag) else {
        return body;
    };
    if !context.resumable() || parts.status != StatusCode::OK {
        return body;
    }
    let progress = Progress {
        context,
        tag,
        length,
        sent: 0,
        body,
        tried: vec![target],
        left: MAX_CONTINUATIONS,
    };
    box_body(StreamBody::new(stream::unfold(Some(progress), step)))
}

type Step = Option<(Result<Frame<Bytes>, BoxError>, Option<Progress>)>;

async fn step(state: Option<Progress>) -> Step {
    let mut progress = state?;
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
            None => BoxError::from("the answer ended early"),
            Some(Err(error)) => error,
        };
        match request_remainder(&mut progress).await {
            Some(body) => progress.body = body,
            None => return Some((Err(error), None)),
        }
    }
}

/// Asks another target for the rest, and makes sure that it is the rest of the same answer.
async fn request_remainder(progress: &mut Progress) -> Option<Body> {
    while progress.left > 0
        && progress
            .context
            .core
            .ingress
            .may_retry(&progress.context)
            .await
    {
        progress.left -= 1;
        let context = progress.context.renewed();
        let target = context
            .core
            .ingress
            .choose_target(&context, &progress.tried, false)?;
        progress.tried.push(Arc::clone(&target.id));
        let mut headers = context.headers.clone();
        let range = HeaderValue::from_str(&format!("bytes={}-", progress.sent)).ok()?;
        headers.insert(header::RANGE, range);
        headers.insert(header::IF_RANGE, progress.tag.clone());
        let tried = context
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
        let response = match tried {
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

fn is_remainder(response: &Response<Body>, progress: &Progress) -> bool {
    let Progress {
        sent, length, tag, ..
    } = progress;
    let range = format!("bytes {sent}-{}/{length}", length - 1);
    let headers = response.headers();
    response.status() == StatusCode::PARTIAL_CONTENT
        && headers.get(header::ETAG) == Some(tag)
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

fn strong_etag(headers: &HeaderMap) -> Option<HeaderValue> {
    let tag = headers.get(header::ETAG)?;
    tag.as_bytes().starts_with(b"\"").then(|| tag.clone())
}
