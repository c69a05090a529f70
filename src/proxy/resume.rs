//! Long answers go on at another target when they break, or end so that the caller can tell.

use std::sync::Arc;

use bytes::Bytes;
use futures::stream;
use http::{HeaderMap, HeaderValue, Response, StatusCode, header, response::Parts};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;

use crate::{
    fleet::{Body, BoxError, box_body, empty},
    proxy::job::{Job, Tried},
};

/// Continuations of one answer, at most.
const MOST_CONTINUATIONS: u32 = 3;

struct Progress {
    job: Job,
    tag: HeaderValue,
    length: u64,
    sent: u64,
    body: Body,
    tried: Vec<Arc<str>>,
    left: u32,
}

/// Returns a body that goes on elsewhere when it breaks, if the answer allows that.
pub(super) fn continued(job: Job, parts: &Parts, target: Arc<str>, body: Body) -> Body {
    let length = length_of(&parts.headers);
    let tag = strong_tag(&parts.headers);
    let (Some(length), Some(tag)) = (length, tag) else {
        return body;
    };
    if !job.resumable() || parts.status != StatusCode::OK {
        return body;
    }
    let progress = Progress {
        job,
        tag,
        length,
        sent: 0,
        body,
        tried: vec![target],
        left: MOST_CONTINUATIONS,
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
        match next_part(&mut progress).await {
            Some(body) => progress.body = body,
            None => return Some((Err(error), None)),
        }
    }
}

/// Asks another target for the rest, and makes sure that it is the rest of the same answer.
async fn next_part(progress: &mut Progress) -> Option<Body> {
    while progress.left > 0 && progress.job.core.entry.may_repeat(&progress.job).await {
        progress.left -= 1;
        let job = progress.job.again();
        let target = job.core.entry.choose(&job, &progress.tried, false)?;
        progress.tried.push(Arc::clone(&target.id));
        let mut headers = job.headers.clone();
        let range = HeaderValue::from_str(&format!("bytes={}-", progress.sent)).ok()?;
        headers.insert(header::RANGE, range);
        headers.insert(header::IF_RANGE, progress.tag.clone());
        let tried = job
            .core
            .entry
            .attempt(
                &job,
                &target,
                (1, true, job.rank),
                job.left(),
                (&headers, empty()),
            )
            .await;
        let response = match tried {
            Tried::Answer(response, _) => response.map(box_body),
            Tried::Local(response) => response,
            Tried::Refused(..) | Tried::Broken(_) => continue,
        };
        if is_rest(&response, progress) {
            progress.job = job;
            return Some(response.into_body());
        }
    }
    None
}

fn is_rest(response: &Response<Body>, progress: &Progress) -> bool {
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

fn length_of(headers: &HeaderMap) -> Option<u64> {
    headers
        .get(header::CONTENT_LENGTH)?
        .to_str()
        .ok()?
        .parse()
        .ok()
}

fn strong_tag(headers: &HeaderMap) -> Option<HeaderValue> {
    let tag = headers.get(header::ETAG)?;
    tag.as_bytes().starts_with(b"\"").then(|| tag.clone())
}
