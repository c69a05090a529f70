//! The path of a request: caller, ingress node, egress node, target.

mod admission;
mod attempt;
mod buffers;
mod continuation;
mod crossing;
mod delivery;
mod dispatch;
mod egress;
mod error_response;
mod exchange;
mod header_names;
mod ingress;
mod lifecycle;
mod ownership;
mod payload;
mod quota;
mod rates;
mod request_context;
mod request_headers;
mod resolution;
mod retries;
mod statements;
mod target_state;
mod tracked_body;
mod version_choice;

pub(crate) use self::statements::{apply_leaving, states_leaving};
pub use self::{
    admission::{ANNOUNCEMENT_LEASE, Admission, AdmissionRequest, Permit},
    attempt::{ATTEMPT_HEADER, Attempt, HeaderError},
    buffers::{BodyLease, Buffers, Cut, Holder},
    crossing::Crossing,
    egress::{Egress, other_targets},
    error_response::{CODE_HEADER, Code, OUTCOME_HEADER, Outcome, error_response},
    header_names::{HeaderNames, RequestIdHeader},
    ingress::Ingress,
    quota::{Quota, Role, forward_draw},
    rates::Rates,
    retries::Purpose,
    target_state::{Announcement, FailureTest, Participation, Probe, ProbePurpose},
    tracked_body::TrackedBody,
};
