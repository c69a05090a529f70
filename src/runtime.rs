//! How the binaries run and end.

use std::process::ExitCode;

use tokio::runtime::Builder;

use crate::{error::Error, exit_codes::Exit, platform::PlatformError};

/// Threads that a process works with; a node shares its VM with a target.
const WORKERS: usize = 2;

/// Runs a future to its end.
///
/// # Errors
/// What the future returns, or [`Error::Io`] when no runtime can be made.
pub fn block_on<T>(future: impl Future<Output = Result<T, Error>>) -> Result<T, Error> {
    let runtime = Builder::new_multi_thread()
        .worker_threads(WORKERS)
        .enable_all()
        .build()?;
    runtime.block_on(future)
}

/// Runs a future to its end on one thread, for nodes on a small part of a processor.
///
/// # Errors
/// What the future returns, or [`Error::Io`] when no runtime can be made.
pub fn block_on_one<T>(future: impl Future<Output = Result<T, Error>>) -> Result<T, Error> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(future)
}

/// Prints an error and returns the exit code.
#[must_use]
pub fn finish(result: Result<Exit, Error>) -> ExitCode {
    match result {
        Ok(exit) => exit.into(),
        Err(error) => {
            eprintln!("{error}");
            exit_of(&error).into()
        }
    }
}

fn exit_of(error: &Error) -> Exit {
    match error {
        Error::Unknown(_) => Exit::Unknown,
        Error::Platform(PlatformError::Unreachable(_) | PlatformError::NoAnswer(_))
        | Error::Node { .. }
        | Error::Listen { .. } => Exit::Unavailable,
        _ => Exit::Refused,
    }
}
