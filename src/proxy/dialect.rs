//! What headers are called towards callers and targets.
//!
//! The fleet has names of its own; a deployment with settled names brings another [`Dialect`].

use http::HeaderName;

use crate::config::KEY_HEADER;

/// The names of headers towards callers and targets.
#[derive(Debug, Clone)]
pub struct Dialect {
    /// Carries how long a caller waits, in milliseconds.
    pub patience: HeaderName,
    /// Tells a target how much of that is left.
    pub left: HeaderName,
    /// Carries a caller's key.
    pub key: HeaderName,
    /// Tells a target for which organisation a request runs.
    pub organisation: HeaderName,
    /// Names a request.
    pub request: RequestName,
    /// Marks a target's refusal to run a request.
    pub refused: HeaderName,
    /// Tells a target which service the request comes from.
    pub origin: Option<HeaderName>,
    /// Names the target that a request is meant for; any other one answers with status 421.
    pub addressee: Option<HeaderName>,
    /// Whether callers may come with HTTP/2 besides HTTP/1.1.
    pub http2: bool,
}

/// How a request is named towards targets.
#[derive(Debug, Clone)]
pub enum RequestName {
    /// The fleet names each attempt in this header.
    Fleet(HeaderName),
    /// The caller names the request in this header, and targets echo it in their answers.
    Caller(HeaderName),
}

impl Default for Dialect {
    fn default() -> Self {
        Self {
            patience: HeaderName::from_static("x-timeout-ms"),
            left: HeaderName::from_static("x-deadline-ms"),
            key: HeaderName::from_static(KEY_HEADER),
            organisation: HeaderName::from_static("x-organisation"),
            request: RequestName::Fleet(HeaderName::from_static("x-attempt")),
            refused: HeaderName::from_static("x-not-run"),
            origin: None,
            addressee: None,
            http2: true,
        }
    }
}

impl Dialect {
    /// Returns the header by which callers name requests, if they do.
    #[must_use]
    pub fn echoed(&self) -> Option<&HeaderName> {
        match &self.request {
            RequestName::Fleet(_) => None,
            RequestName::Caller(name) => Some(name),
        }
    }

    /// Returns the headers that a caller can't set, since the fleet sets them or keeps them back.
    pub fn reserved(&self) -> impl Iterator<Item = &HeaderName> {
        let own = match &self.request {
            RequestName::Fleet(name) => Some(name),
            RequestName::Caller(_) => None,
        };
        [
            &self.patience,
            &self.left,
            &self.key,
            &self.organisation,
            &self.refused,
        ]
        .into_iter()
        .chain(own)
        .chain(&self.origin)
        .chain(&self.addressee)
    }
}
