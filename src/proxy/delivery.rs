//! Delivery of a target's response to the caller.

use std::sync::Arc;

use http::{HeaderValue, Response};
use hyper::body::Body as _;
use tokio::time::timeout;

use crate::{
    board::TargetView,
    fleet::Body,
    proxy::{
        Code, OUTCOME_HEADER, Outcome,
        attempt::{INTERNAL_PREFIX, PUBLIC_PREFIX, drop_prefix},
        buffers::{Holder, held_stream},
        continuation,
        dispatch::record_load,
        payload::{
            BUFFER_LIMIT, RESPONSE_BUFFER_LIMIT, ResponseRoom, buffer_response, with_time_limit,
        },
        request_context::RequestContext,
        request_headers::HOP_BY_HOP,
    },
};

/// Returns the maximum number of bytes of a response body that are buffered before it is passed on, or
/// `None` if the body is streamed from the start.
fn buffer_limit(context: &RequestContext, body: &Body) -> Option<usize> {
    let size = body.size_hint().exact();
    let retry_useful = context.idempotent && !context.objective().is_zero();
    // With room for them, responses leave the target at once and wait for their callers here.
    let limit = if retry_useful || context.core.buffers.is_some() {
        RESPONSE_BUFFER_LIMIT
    } else {
        BUFFER_LIMIT
    };
    let fits = size.map_or(retry_useful, |size| size <= limit as u64);
    fits.then_some(limit)
}

/// Returns where the bytes of a request's response are accounted for.
fn response_room(context: &RequestContext) -> ResponseRoom<'_> {
    let Some(buffers) = &context.core.buffers else {
        return ResponseRoom::Budget(&context.core.ingress.buffers);
    };
    // A hedged request may get a second response.
    let lease = context.room.take();
    ResponseRoom::Lease(lease.or_else(|| {
        let organisation = context.caller.as_ref().map_or("", |(name, _)| name);
        let holder = Holder::of_response(organisation, &context.room.cut);
        buffers.lease(&holder, BUFFER_LIMIT).ok()
    }))
}

/// Prepares a target's response for the caller. A short body is buffered whole; a longer one is streamed, and
/// continued at another target if it breaks.
///
/// # Errors
/// [`Code::Timeout`] or [`Code::AnswerLost`] if a body that is buffered doesn't arrive in time or breaks.
pub(super) async fn deliver(
    context: &RequestContext,
    target: &TargetView,
    response: Response<Body>,
) -> Result<Response<Body>, Code> {
    record_load(target, response.headers(), context.core.clock.now());
    let (mut parts, body) = response.into_parts();
    drop_prefix(&mut parts.headers, INTERNAL_PREFIX);
    drop_prefix(&mut parts.headers, PUBLIC_PREFIX);
    for name in &HOP_BY_HOP {
        parts.headers.remove(name);
    }
    let ran = HeaderValue::from_static(Outcome::Ran.name());
    parts.headers.insert(OUTCOME_HEADER, ran);
    let stream = |body| {
        let body =
            continuation::resumable_body(context.clone(), &parts, Arc::clone(&target.id), body);
        // Where the timeout bounds the whole response, a body that doesn't end must not occupy the target.
        match context.core.feed.is_some() {
            true => with_time_limit(body, context.remaining()),
            false => body,
        }
    };
    let body = if let Some(limit) = buffer_limit(context, &body) {
        let buffered = timeout(
            context.remaining(),
            buffer_response(body, limit, response_room(context)),
        )
        .await;
        let buffered = buffered.map_err(|_| Code::Timeout)?;
        let (body, is_complete) = buffered.map_err(|error| {
            let (request, error) = (context.request_id.as_str(), error.to_string());
            spdlog::warn!("failed to read the response body of a target", kv: { request, target = &*target.id, error });
            Code::AnswerLost
        })?;
        match is_complete {
            true => body,
            false => stream(body),
        }
    } else {
        let body = stream(body);
        match context.room.take() {
            Some(lease) => held_stream(body, lease),
            None => body,
        }
    };
    Ok(Response::from_parts(parts, body))
}
