//! The path of a request: caller, ingress node, egress node, target.

mod admission;
mod answer;
mod attempt;
mod course;
mod delivery;
mod dialect;
mod dispatch;
mod egress;
mod entry;
mod exchange;
mod head;
mod job;
mod ownership;
mod payload;
mod quota;
mod rates;
mod resolve;
mod resume;
mod retries;
mod target_state;
mod tracked_body;

pub use self::{
    admission::{ANNOUNCEMENT_LEASE, Admission, AdmissionRequest, Permit},
    answer::{CODE_HEADER, Code, OUTCOME_HEADER, Outcome, refuse},
    attempt::{ATTEMPT_HEADER, Attempt, HeaderError},
    dialect::{Dialect, RequestName},
    egress::{Egress, other_targets},
    entry::Entry,
    quota::{Quota, Role, forward_draw},
    rates::Rates,
    retries::Purpose,
    target_state::{Announcement, FailureTest},
    tracked_body::TrackedBody,
};
