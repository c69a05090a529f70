//! The request path: caller, ingress node, egress node, target.

mod attempt;
mod continuation;
mod delivery;
mod dispatch;
mod error_response;
mod gate;
mod guard;
mod guarded;
mod header_names;
mod ingress;
mod keeping;
mod lifecycle;
mod payload;
mod quota;
mod rates;
mod repeats;
mod request_context;
mod request_headers;
mod resolution;
mod target;
mod watch;

pub use self::{
    attempt::{ATTEMPT_HEADER, Attempt, HeaderError},
    error_response::{CODE_HEADER, Code, OUTCOME_HEADER, Outcome, error_response},
    gate::{Gate, LEASE, Permit, Wish},
    guard::{Guard, others_of},
    guarded::{Announcement, Test},
    header_names::{HeaderNames, RequestIdHeader},
    ingress::Ingress,
    quota::{Quota, Role, pass_on},
    rates::Rates,
    repeats::Purpose,
    watch::Watched,
};
