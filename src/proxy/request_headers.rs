//! Reads the headers of a caller's request, and selects those that are forwarded.

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

/// Hop-by-hop headers, which are not forwarded.
pub(super) const HOP_BY_HOP: [HeaderName; 7] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Returns the host that the caller requested, from the URI or the `Host` header.
pub(super) fn requested_host(parts: &Parts) -> Option<String> {
    let authority = parts.uri.authority().map(|a| a.as_str().to_owned());
    authority.or_else(|| {
        let host = parts.headers.get(header::HOST)?;
        host.to_str().ok().map(str::to_owned)
    })
}

/// Returns the organisation whose key a request carries, and the id of that key.
pub(super) fn authenticate(
    view: &View,
    header_names: &HeaderNames,
    headers: &HeaderMap,
) -> Option<(Arc<Organisation>, String)> {
    let bearer = headers.get(header::AUTHORIZATION).and_then(|v| {
        let text = v.to_str().ok()?;
        text.strip_prefix("Bearer ").map(str::trim)
    });
    let key_header = headers.get(&header_names.key).and_then(|v| v.to_str().ok());
    let text = key_header.or(bearer)?;
    let (organisation, key) = view.index.key(text)?;
    Some((Arc::clone(organisation), key.to_owned()))
}

/// Returns the timeout that the caller requested, or `None` if it requested none.
///
/// # Errors
/// [`Code::BadRequest`] if the header is not a number of milliseconds.
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

/// Returns the headers without those that are not forwarded: hop-by-hop headers, keys, and those that the fleet
/// sets.
pub(super) fn forwarded_headers(header_names: &HeaderNames, mut headers: HeaderMap) -> HeaderMap {
    let connection_headers: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in HOP_BY_HOP.iter().chain(&connection_headers) {
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
