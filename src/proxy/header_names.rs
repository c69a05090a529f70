//! Names of the headers that callers and targets use.
//!
//! The fleet has default names; a deployment with established names sets its own [`HeaderNames`].

use http::HeaderName;

use crate::config::KEY_HEADER;

/// The names of the headers that callers and targets use, and whether callers may use HTTP/2.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Carries the caller's timeout in milliseconds.
    pub client_timeout: HeaderName,
    /// Tells a target the remaining time in milliseconds.
    pub remaining: HeaderName,
    /// Carries a caller's key.
    pub key: HeaderName,
    /// Tells a target the organisation that a request is made for.
    pub organisation: HeaderName,
    /// Carries the id of a request.
    pub request_id: RequestIdHeader,
    /// Marks a response by which a target refuses to run a request.
    pub refusal: HeaderName,
    /// States in a target's response how many requests a second it takes from all nodes together.
    pub rate_limit: HeaderName,
    /// States in a target's response, by the value 1, that it is leaving.
    pub leaving: HeaderName,
    /// Tells a target the name of the service that a request comes from; `None` if targets aren't told.
    pub source_service: Option<HeaderName>,
    /// Names the target that a request is meant for; `None` if requests don't name it. Any other target
    /// responds with status 421.
    pub expected_target: Option<HeaderName>,
    /// Names the target in its response to a probe.
    pub target_id: HeaderName,
    /// States in a response to a probe for how many milliseconds the target stays cold; absent if it is warm.
    pub cold_left: HeaderName,
    /// Whether callers may use HTTP/2 in addition to HTTP/1.1.
    pub http2: bool,
}

/// The header that identifies a request to targets, by who sets it.
#[derive(Debug, Clone)]
pub enum RequestIdHeader {
    /// The fleet sets this header to the id of each attempt.
    Generated(HeaderName),
    /// The caller sets this header, and targets echo it in their responses.
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
            rate_limit: HeaderName::from_static("x-rate-limit"),
            leaving: HeaderName::from_static("x-leaving"),
            source_service: None,
            expected_target: None,
            target_id: HeaderName::from_static("x-target"),
            cold_left: HeaderName::from_static("x-cold-ms"),
            http2: true,
        }
    }
}

impl HeaderNames {
    /// Returns the header in which callers supply request ids, if they do.
    #[must_use]
    pub fn supplied_id(&self) -> Option<&HeaderName> {
        match &self.request_id {
            RequestIdHeader::Generated(_) => None,
            RequestIdHeader::Supplied(name) => Some(name),
        }
    }

    /// Returns the headers of callers that are not forwarded to targets, since the fleet sets them itself or
    /// withholds them.
    pub fn reserved(&self) -> impl Iterator<Item = &HeaderName> {
        let generated = match &self.request_id {
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
        .chain(generated)
        .chain(&self.source_service)
        .chain(&self.expected_target)
    }
}
