//! An attempt on its way from entry to guard, as headers.

use std::time::Duration;

use http::{HeaderMap, HeaderName, HeaderValue};
use thiserror::Error;

use crate::policy::{attempt::AttemptId, queue::Rank};

/// The prefix of headers between nodes; callers' headers with it are dropped.
pub const INTERNAL_PREFIX: &str = "mjd-";

/// The prefix of headers towards callers; callers' own with it are dropped.
pub const PUBLIC_PREFIX: &str = "marjoramdyke-";

/// Marks an attempt; its value is the attempt's id.
pub const ATTEMPT_HEADER: HeaderName = HeaderName::from_static("mjd-attempt");

const GUARD: HeaderName = HeaderName::from_static("mjd-guard");
const TARGET: HeaderName = HeaderName::from_static("mjd-target");
const SERVICE: HeaderName = HeaderName::from_static("mjd-service");
const ORGANISATION: HeaderName = HeaderName::from_static("mjd-organisation");
const KEY: HeaderName = HeaderName::from_static("mjd-key");
const LEFT: HeaderName = HeaderName::from_static("mjd-left-ms");
const FLOOR: HeaderName = HeaderName::from_static("mjd-floor");
const SAFE: HeaderName = HeaderName::from_static("mjd-idempotent");
const REPEAT: HeaderName = HeaderName::from_static("mjd-repeat");
const HOST: HeaderName = HeaderName::from_static("mjd-host");
const REQUEST: HeaderName = HeaderName::from_static("mjd-request");
const RANK: HeaderName = HeaderName::from_static("mjd-rank");
const WAIT: HeaderName = HeaderName::from_static("mjd-wait-ms");
const OBJECTIVE: HeaderName = HeaderName::from_static("mjd-objective-ms");

data! {
    /// One attempt at a request.
    pub struct Attempt {
        /// Its id.
        pub id: AttemptId,
        /// The incarnation of the guard that it is meant for.
        pub guard: u64,
        /// The target.
        pub target: String,
        /// The service.
        pub service: String,
        /// The organisation and the id of the key that came, on keyed routes.
        pub caller: Option<(String, String)>,
        /// Time left until the deadline.
        pub left: Duration,
        /// Whether the floor keeps the target in although it fails.
        pub floor: bool,
        /// Whether the request may run more than once.
        pub idempotent: bool,
        /// Whether the request may have reached another target before.
        pub repeat: bool,
        /// The host that the caller asked for.
        pub host: String,
        /// The request's name, for logs.
        pub request: String,
        /// How urgent it is.
        pub rank: Rank,
        /// How long it may wait for a slot.
        pub wait: Duration,
        /// What its route states as the time within which an answer is worth most; zero for nothing.
        pub objective: Duration,
    }
}

/// Which header of an attempt is missing or malformed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("header {0} is missing or malformed")]
pub struct HeaderError(HeaderName);

impl Attempt {
    /// Writes the headers.
    pub fn write(&self, headers: &mut HeaderMap) {
        put(headers, ATTEMPT_HEADER, &self.id.to_string());
        put(headers, GUARD, &self.guard.to_string());
        put(headers, TARGET, &self.target);
        put(headers, SERVICE, &self.service);
        put(headers, LEFT, &millis(self.left));
        put(headers, REQUEST, &self.request);
        put(headers, RANK, &write_rank(self.rank));
        put(headers, WAIT, &millis(self.wait));
        put(headers, OBJECTIVE, &millis(self.objective));
        put(headers, FLOOR, flag(self.floor));
        put(headers, SAFE, flag(self.idempotent));
        put(headers, REPEAT, flag(self.repeat));
        put(headers, HOST, &self.host);
        if let Some((organisation, key)) = &self.caller {
            put(headers, ORGANISATION, organisation);
            put(headers, KEY, key);
        }
    }

    /// Reads the headers and takes them out.
    ///
    /// # Errors
    /// [`HeaderError`] when one is missing or malformed.
    pub fn take(headers: &mut HeaderMap) -> Result<Self, HeaderError> {
        let id = parse_id(&text(headers, ATTEMPT_HEADER)?).ok_or(HeaderError(ATTEMPT_HEADER))?;
        let attempt = Self {
            id,
            guard: number(headers, GUARD)?,
            target: text(headers, TARGET)?,
            service: text(headers, SERVICE)?,
            caller: caller(headers)?,
            left: Duration::from_millis(number(headers, LEFT)?),
            floor: text(headers, FLOOR)? == flag(true),
            idempotent: text(headers, SAFE)? == flag(true),
            repeat: text(headers, REPEAT)? == flag(true),
            host: text(headers, HOST)?,
            request: text(headers, REQUEST)?,
            rank: read_rank(&text(headers, RANK)?).ok_or(HeaderError(RANK))?,
            wait: Duration::from_millis(number(headers, WAIT)?),
            objective: Duration::from_millis(number(headers, OBJECTIVE)?),
        };
        drop_prefix(headers, INTERNAL_PREFIX);
        Ok(attempt)
    }
}

/// Drops all headers with a prefix.
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
        external: outside,
        organisation,
        route,
    } = rank;
    format!("{}.{organisation}.{route}", flag(outside))
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

/// Header values go as UTF-8 bytes, since names of organisations may hold any letter.
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
