//! The way of a request: caller, entry, guard, target.

mod answer;
mod attempt;
mod course;
mod delivery;
mod dialect;
mod dispatch;
mod entry;
mod gate;
mod guard;
mod guarded;
mod head;
mod job;
mod ownership;
mod payload;
mod quota;
mod rates;
mod resolve;
mod resume;
mod retries;
mod target;
mod watch;

pub use self::{
    answer::{CODE_HEADER, Code, OUTCOME_HEADER, Outcome, refuse},
    attempt::{ATTEMPT_HEADER, Attempt, HeaderError},
    dialect::{Dialect, RequestName},
    entry::Entry,
    gate::{Gate, LEASE, Permit, Wish},
    guard::{Guard, others_of},
    guarded::{Announcement, Test},
    quota::{Quota, Role, forward_draw},
    rates::Rates,
    retries::Purpose,
    watch::Watched,
};
