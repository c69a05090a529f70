//! marjoramdyke: a fleet of proxies for targets that may become slow, hang or fail in part.
//!
//! [docs/DESIGN.md](../docs/DESIGN.md) describes how the parts work together.

#[macro_use]
mod derives;

pub mod board;
pub mod cli;
pub mod clock;
pub mod config;
pub mod error;
pub mod exit_codes;
pub mod feed;
pub mod fleet;
mod hash;
pub mod jsonc;
pub mod logs;
pub mod net;
pub mod node;
pub mod operator;
pub mod ops;
pub mod platform;
pub mod policy;
pub mod proxy;
pub mod report;
pub mod runtime;
pub mod settings;
