//! What is read from the head of a caller's request, and what of it may go on.

use std::{sync::Arc, time::Duration};

use http::{HeaderMap, HeaderName, header, request::Parts};

use crate::{
    board::View,
    config::Organisation,
    proxy::{
        Code, HeaderNames,
        attempt::{INTERNAL_PREFIX, PUBLIC_PREFIX, drop_prefix},
    },
};

/// Headers that end at each hop.
pub(super) const HOP_BY_HOP: [HeaderName; 7] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Finds the host that the caller asked for.
pub(super) fn requested_host(parts: &Parts) -> Option<String> {
    let authority = parts.uri.authority().map(|a| a.as_str().to_owned());
    authority.or_else(|| {
        let host = parts.headers.get(header::HOST)?;
        host.to_str().ok().map(str::to_owned)
    })
}

/// Finds whose key came with a request.
pub(super) fn authenticate(
    view: &View,
    header_names: &HeaderNames,
    headers: &HeaderMap,
) -> Option<(Arc<Organisation>, String)> {
    let bearer = headers.get(header::AUTHORIZATION).and_then(|v| {
        let text = v.to_str().ok()?;
        text.strip_prefix("Bearer ").map(str::trim)
    });
    let plain = headers.get(&header_names.key).and_then(|v| v.to_str().ok());
    let text = plain.or(bearer)?;
    let (organisation, key) = view.index.key(text)?;
    Some((Arc::clone(organisation), key.to_owned()))
}

/// Finds the deadline that the caller asked for.
pub(super) fn client_timeout(
    header_names: &HeaderNames,
    headers: &HeaderMap,
) -> Result<Option<Duration>, Code> {
    let Some(value) = headers.get(&header_names.client_timeout) else {
        return Ok(None);
    };
    let millis = value.to_str().ok().and_then(|t| t.parse().ok());
    millis
        .map(|m| Some(Duration::from_millis(m)))
        .ok_or(Code::BadRequest)
}

/// Drops what must not reach a target: keys, and every header that the fleet itself sets.
pub(super) fn forwarded_headers(header_names: &HeaderNames, mut headers: HeaderMap) -> HeaderMap {
    let listed: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in HOP_BY_HOP.iter().chain(&listed) {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
    headers.remove(header::AUTHORIZATION);
    headers.remove(header::HOST);
    headers.remove(header::EXPECT);
    for name in header_names.reserved() {
        headers.remove(name);
    }
    drop_prefix(&mut headers, INTERNAL_PREFIX);
    drop_prefix(&mut headers, PUBLIC_PREFIX);
    headers
}
