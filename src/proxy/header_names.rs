//! What headers are called towards callers and targets.
//!
//! The fleet has names of its own; a deployment with settled names brings another [`HeaderNames`].

use http::HeaderName;

use crate::config::KEY_HEADER;

/// The names of headers towards callers and targets.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Carries how long a caller waits, in milliseconds.
    pub client_timeout: HeaderName,
    /// Tells a target how much of that is left.
    pub remaining: HeaderName,
    /// Carries a caller's key.
    pub key: HeaderName,
    /// Tells a target for which organisation a request runs.
    pub organisation: HeaderName,
    /// Names a request.
    pub request_id: RequestIdHeader,
    /// Marks a target's refusal to run a request.
    pub refusal: HeaderName,
    /// Tells a target which service the request comes from.
    pub source_service: Option<HeaderName>,
    /// Names the target that a request is meant for; any other one answers with status 421.
    pub expected_target: Option<HeaderName>,
    /// Whether callers may come with HTTP/2 besides HTTP/1.1.
    pub http2: bool,
}

/// How a request is named towards targets.
#[derive(Debug, Clone)]
pub enum RequestIdHeader {
    /// The fleet names each attempt in this header.
    Generated(HeaderName),
    /// The caller names the request in this header, and targets echo it in their answers.
    Supplied(HeaderName),
}

impl Default for HeaderNames {
    fn default() -> Self {
        Self {
            client_timeout: HeaderName::from_static("x-timeout-ms"),
            remaining: HeaderName::from_static("x-deadline-ms"),
            key: HeaderName::from_static(KEY_HEADER),
            organisation: HeaderName::from_static("x-organisation"),
            request_id: RequestIdHeader::Generated(HeaderName::from_static("x-attempt")),
            refusal: HeaderName::from_static("x-not-run"),
            source_service: None,
            expected_target: None,
            http2: true,
        }
    }
}

impl HeaderNames {
    /// Returns the header by which callers name requests, if they do.
    #[must_use]
    pub fn supplied_id(&self) -> Option<&HeaderName> {
        match &self.request_id {
            RequestIdHeader::Generated(_) => None,
            RequestIdHeader::Supplied(name) => Some(name),
        }
    }

    /// Returns the headers that a caller can't set, since the fleet sets them or keeps them back.
    pub fn reserved(&self) -> impl Iterator<Item = &HeaderName> {
        let own = match &self.request_id {
            RequestIdHeader::Generated(name) => Some(name),
            RequestIdHeader::Supplied(_) => None,
        };
        [
            &self.client_timeout,
            &self.remaining,
            &self.key,
            &self.organisation,
            &self.refusal,
        ]
        .into_iter()
        .chain(own)
        .chain(&self.source_service)
        .chain(&self.expected_target)
    }
}
