//! The headers that carry an attempt from the ingress to the egress node.

use std::time::Duration;

use http::{HeaderMap, HeaderName, HeaderValue};
use thiserror::Error;

use crate::policy::{attempt::AttemptId, queue::Rank};

/// The prefix of headers between nodes. Callers' headers with this prefix are dropped.
pub const INTERNAL_PREFIX: &str = "mjd-";

/// The prefix of response headers for callers. Callers' request headers with this prefix are dropped.
pub const PUBLIC_PREFIX: &str = "marjoramdyke-";

/// Marks a request between nodes as an attempt, and its response as belonging to the attempt. The value is
/// the attempt's id.
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
const OBJECTIVE_LEFT: HeaderName = HeaderName::from_static("mjd-objective-left-ms");

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
        /// Whether the floor of its service keeps the target in use although it is failing.
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
        /// The part of the objective that remains.
        pub objective_left: Duration,
    }
}

/// A header of an attempt that is missing or malformed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("header {0} is missing or malformed")]
pub struct HeaderError(HeaderName);

impl Attempt {
    /// Writes the attempt to headers.
    pub fn write_headers(&self, headers: &mut HeaderMap) {
        insert_text(headers, ATTEMPT_HEADER, &self.id.to_string());
        insert_text(headers, EGRESS, &self.egress.to_string());
        insert_text(headers, TARGET, &self.target);
        insert_text(headers, SERVICE, &self.service);
        insert_text(headers, REMAINING, &format_millis(self.remaining));
        insert_text(headers, REQUEST_ID, &self.request_id);
        insert_text(headers, RANK, &format_rank(self.rank));
        insert_text(headers, WAIT, &format_millis(self.wait));
        insert_text(headers, OBJECTIVE, &format_millis(self.objective));
        insert_text(headers, OBJECTIVE_LEFT, &format_millis(self.objective_left));
        insert_text(headers, FLOOR, format_flag(self.floor));
        insert_text(headers, IDEMPOTENT, format_flag(self.idempotent));
        insert_text(headers, REPEAT, format_flag(self.repeat));
        insert_text(headers, HOST, &self.host);
        if let Some((organisation, key)) = &self.caller {
            insert_text(headers, ORGANISATION, organisation);
            insert_text(headers, KEY, key);
        }
    }

    /// Reads an attempt from headers, and removes all internal headers.
    ///
    /// # Errors
    /// [`HeaderError`] if a header is missing or malformed; no header is removed then.
    pub fn take_headers(headers: &mut HeaderMap) -> Result<Self, HeaderError> {
        let id =
            parse_id(&read_text(headers, ATTEMPT_HEADER)?).ok_or(HeaderError(ATTEMPT_HEADER))?;
        let attempt = Self {
            id,
            egress: read_number(headers, EGRESS)?,
            target: read_text(headers, TARGET)?,
            service: read_text(headers, SERVICE)?,
            caller: read_caller(headers)?,
            remaining: Duration::from_millis(read_number(headers, REMAINING)?),
            floor: read_text(headers, FLOOR)? == format_flag(true),
            idempotent: read_text(headers, IDEMPOTENT)? == format_flag(true),
            repeat: read_text(headers, REPEAT)? == format_flag(true),
            host: read_text(headers, HOST)?,
            request_id: read_text(headers, REQUEST_ID)?,
            rank: parse_rank(&read_text(headers, RANK)?).ok_or(HeaderError(RANK))?,
            wait: Duration::from_millis(read_number(headers, WAIT)?),
            objective: Duration::from_millis(read_number(headers, OBJECTIVE)?),
            objective_left: read_objective_left(headers)?,
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

fn format_millis(duration: Duration) -> String {
    duration.as_millis().to_string()
}

fn format_rank(rank: Rank) -> String {
    let Rank {
        external,
        organisation,
        route,
    } = rank;
    format!("{}.{organisation}.{route}", format_flag(external))
}

fn parse_rank(text: &str) -> Option<Rank> {
    let mut parts = text.split('.');
    let rank = Rank {
        external: parts.next()? == format_flag(true),
        organisation: parts.next()?.parse().ok()?,
        route: parts.next()?.parse().ok()?,
    };
    parts.next().is_none().then_some(rank)
}

fn format_flag(set: bool) -> &'static str {
    if set { "1" } else { "0" }
}

/// Inserts a header value as UTF-8 bytes, since names of organisations may contain non-ASCII letters.
fn insert_text(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_bytes(value.as_bytes()) {
        headers.insert(name, value);
    }
}

fn read_text(headers: &HeaderMap, name: HeaderName) -> Result<String, HeaderError> {
    let value = headers.get(&name).map(HeaderValue::as_bytes);
    value
        .and_then(|v| std::str::from_utf8(v).ok())
        .map(str::to_owned)
        .ok_or(HeaderError(name))
}

fn read_number(headers: &HeaderMap, name: HeaderName) -> Result<u64, HeaderError> {
    read_text(headers, name.clone())?
        .parse()
        .map_err(|_| HeaderError(name))
}

/// Reads the remaining part of the objective. Nodes of earlier versions don't send it, and count as if nothing of the
/// objective had passed.
fn read_objective_left(headers: &HeaderMap) -> Result<Duration, HeaderError> {
    let name = match headers.contains_key(OBJECTIVE_LEFT) {
        true => OBJECTIVE_LEFT,
        false => OBJECTIVE,
    };
    Ok(Duration::from_millis(read_number(headers, name)?))
}

fn read_caller(headers: &HeaderMap) -> Result<Option<(String, String)>, HeaderError> {
    if !headers.contains_key(ORGANISATION) {
        return Ok(None);
    }
    Ok(Some((
        read_text(headers, ORGANISATION)?,
        read_text(headers, KEY)?,
    )))
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
