//! Pure decision logic without sockets, tasks or waiting, so that tests can run it from a seed.

pub mod attempt;
pub mod bucket;
pub mod budget;
pub mod crossing;
pub mod departures;
pub mod eject;
pub mod forecast;
pub mod fresh;
pub mod leases;
pub mod limit;
pub mod pace;
pub mod path;
pub mod pick;
pub mod queue;
pub mod roster;
pub mod share;
pub mod shutdown;
pub mod stated_limit;
pub mod suspicion;
mod tokens;
