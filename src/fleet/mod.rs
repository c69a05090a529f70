//! Communication between nodes: links, gossip, records and the control calls.

#[allow(
    clippy::all,
    clippy::pedantic,
    missing_docs,
    rustdoc::all,
    reason = "generated code"
)]
pub mod codec;
pub mod gossip;
mod link;
mod membership;
mod secret;

pub use self::{
    link::{
        Body, BoxError, Link, LinkError, Links, SMALL_WINDOW, TOKEN_HEADER, Windows, box_body,
        empty, full,
    },
    membership::{BUCKETS, Membership},
    secret::{Secret, SecretError},
};
