//! Observability of a node: metrics, error budget burn and the local listener.

pub mod burn;
mod local;
mod metrics;

pub use self::{
    local::{SharedCore, core, ready, serve_local},
    metrics::Metrics,
};
