//! The headers that carry an attempt from the ingress to the egress node.

use std::time::Duration;

use http::{HeaderMap, HeaderName, HeaderValue};
use thiserror::Error;

use crate::policy::{attempt::AttemptId, queue::Rank};

/// The prefix of headers between nodes. Callers' headers with this prefix are dropped.
pub const INTERNAL_PREFIX: &str = "mjd-";

/// The prefix of response headers for callers. Callers' request headers with this prefix are dropped.
pub const PUBLIC_PREFIX: &str = "marjoramdyke-";

/// Marks a request between nodes as an attempt. Its value is the attempt's id.
pub const ATTEMPT_HEADER: HeaderName = HeaderName::from_static("mjd-attempt");

const EGRESS: HeaderName = HeaderName::from_static("mjd-guard");
const TARGET: HeaderName = HeaderName::from_static("mjd-target");
const SERVICE: HeaderName = HeaderName::from_static("mjd-service");
const ORGANISATION: HeaderName = HeaderName::from_static("mjd-organisation");
const KEY: HeaderName = HeaderName::from_static("mjd-key");
const REMAINING: HeaderName = HeaderName::from_static("mjd-left-ms");
const FLOOR: HeaderName = HeaderName::from_static("mjd-floor");
const IDEMPOTENT: HeaderName = HeaderName::from_static("mjd-idempotent");
const REPEAT: HeaderName = HeaderName::from_static("mjd-repeat");
const HOST: HeaderName = HeaderName::from_static("mjd-host");
const REQUEST_ID: HeaderName = HeaderName::from_static("mjd-request");
const RANK: HeaderName = HeaderName::from_static("mjd-rank");
const WAIT: HeaderName = HeaderName::from_static("mjd-wait-ms");
const OBJECTIVE: HeaderName = HeaderName::from_static("mjd-objective-ms");

data! {
    /// One attempt at a request.
    pub struct Attempt {
        /// The id of the attempt.
        pub id: AttemptId,
        /// The incarnation of the egress node that the attempt is meant for.
        pub egress: u64,
        /// The id of the target.
        pub target: String,
        /// The name of the service.
        pub service: String,
        /// The organisation and the id of the caller's key, on keyed routes.
        pub caller: Option<(String, String)>,
        /// The time that remains until the deadline.
        pub remaining: Duration,
        /// Whether the floor keeps the target in service although it fails.
        pub floor: bool,
        /// Whether the request may run more than once.
        pub idempotent: bool,
        /// Whether the request may have reached another target in an earlier attempt.
        pub repeat: bool,
        /// The host that the caller requested.
        pub host: String,
        /// The id that the caller gave the request, for logs.
        pub request_id: String,
        /// The request's rank in queues.
        pub rank: Rank,
        /// How long the attempt may wait for a slot.
        pub wait: Duration,
        /// The route's objective for the response time; zero if it has none.
        pub objective: Duration,
    }
}

/// A header of an attempt that is missing or malformed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("header {0} is missing or malformed")]
pub struct HeaderError(HeaderName);

impl Attempt {
    /// Writes the attempt to headers.
    pub fn write_headers(&self, headers: &mut HeaderMap) {
        put(headers, ATTEMPT_HEADER, &self.id.to_string());
        put(headers, EGRESS, &self.egress.to_string());
        put(headers, TARGET, &self.target);
        put(headers, SERVICE, &self.service);
        put(headers, REMAINING, &millis(self.remaining));
        put(headers, REQUEST_ID, &self.request_id);
        put(headers, RANK, &write_rank(self.rank));
        put(headers, WAIT, &millis(self.wait));
        put(headers, OBJECTIVE, &millis(self.objective));
        put(headers, FLOOR, flag(self.floor));
        put(headers, IDEMPOTENT, flag(self.idempotent));
        put(headers, REPEAT, flag(self.repeat));
        put(headers, HOST, &self.host);
        if let Some((organisation, key)) = &self.caller {
            put(headers, ORGANISATION, organisation);
            put(headers, KEY, key);
        }
    }

    /// Reads an attempt from headers, and removes all internal headers.
    ///
    /// # Errors
    /// [`HeaderError`] when one is missing or malformed.
    pub fn take_headers(headers: &mut HeaderMap) -> Result<Self, HeaderError> {
        let id = parse_id(&text(headers, ATTEMPT_HEADER)?).ok_or(HeaderError(ATTEMPT_HEADER))?;
        let attempt = Self {
            id,
            egress: number(headers, EGRESS)?,
            target: text(headers, TARGET)?,
            service: text(headers, SERVICE)?,
            caller: caller(headers)?,
            remaining: Duration::from_millis(number(headers, REMAINING)?),
            floor: text(headers, FLOOR)? == flag(true),
            idempotent: text(headers, IDEMPOTENT)? == flag(true),
            repeat: text(headers, REPEAT)? == flag(true),
            host: text(headers, HOST)?,
            request_id: text(headers, REQUEST_ID)?,
            rank: read_rank(&text(headers, RANK)?).ok_or(HeaderError(RANK))?,
            wait: Duration::from_millis(number(headers, WAIT)?),
            objective: Duration::from_millis(number(headers, OBJECTIVE)?),
        };
        drop_prefix(headers, INTERNAL_PREFIX);
        Ok(attempt)
    }
}

/// Removes all headers whose names start with a prefix.
pub fn drop_prefix(headers: &mut HeaderMap, prefix: &str) {
    let names: Vec<HeaderName> = headers
        .keys()
        .filter(|name| name.as_str().starts_with(prefix))
        .cloned()
        .collect();
    for name in names {
        headers.remove(name);
    }
}

fn millis(duration: Duration) -> String {
    duration.as_millis().to_string()
}

fn write_rank(rank: Rank) -> String {
    let Rank {
        external,
        organisation,
        route,
    } = rank;
    format!("{}.{organisation}.{route}", flag(external))
}

fn read_rank(text: &str) -> Option<Rank> {
    let mut parts = text.split('.');
    let rank = Rank {
        external: parts.next()? == flag(true),
        organisation: parts.next()?.parse().ok()?,
        route: parts.next()?.parse().ok()?,
    };
    parts.next().is_none().then_some(rank)
}

fn flag(set: bool) -> &'static str {
    if set { "1" } else { "0" }
}

/// Inserts a header value as UTF-8 bytes, since names of organisations may contain non-ASCII letters.
fn put(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_bytes(value.as_bytes()) {
        headers.insert(name, value);
    }
}

fn text(headers: &HeaderMap, name: HeaderName) -> Result<String, HeaderError> {
    let value = headers.get(&name).map(HeaderValue::as_bytes);
    value
        .and_then(|v| std::str::from_utf8(v).ok())
        .map(str::to_owned)
        .ok_or(HeaderError(name))
}

fn number(headers: &HeaderMap, name: HeaderName) -> Result<u64, HeaderError> {
    text(headers, name.clone())?
        .parse()
        .map_err(|_| HeaderError(name))
}

fn caller(headers: &HeaderMap) -> Result<Option<(String, String)>, HeaderError> {
    if !headers.contains_key(ORGANISATION) {
        return Ok(None);
    }
    Ok(Some((text(headers, ORGANISATION)?, text(headers, KEY)?)))
}

fn parse_id(text: &str) -> Option<AttemptId> {
    let mut parts = text.split('.');
    let id = AttemptId {
        ingress: parts.next()?.parse().ok()?,
        sequence: parts.next()?.parse().ok()?,
        number: parts.next()?.parse().ok()?,
    };
    parts.next().is_none().then_some(id)
}
