//! Async runtimes and exit codes of the binaries.

use std::process::ExitCode;

use tokio::runtime::Builder;

use crate::{error::Error, exit_codes::Exit, platform::PlatformError};

/// Number of worker threads, which is small because a node shares its VM with a target.
const WORKER_THREADS: usize = 2;

/// Runs a future to completion on a multi-threaded runtime.
///
/// # Errors
/// The error of the future, or [`Error::Io`] when the runtime cannot be created.
pub fn block_on<T>(future: impl Future<Output = Result<T, Error>>) -> Result<T, Error> {
    let runtime = Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build()?;
    runtime.block_on(future)
}

/// Runs a future to completion on a single thread, for nodes that have only a fraction of a processor.
///
/// # Errors
/// The error of the future, or [`Error::Io`] when the runtime cannot be created.
pub fn block_on_single_thread<T>(
    future: impl Future<Output = Result<T, Error>>,
) -> Result<T, Error> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(future)
}

/// Prints the error, if any, to standard error and returns the exit code.
#[must_use]
pub fn exit_code(result: Result<Exit, Error>) -> ExitCode {
    match result {
        Ok(exit) => exit.into(),
        Err(error) => {
            eprintln!("{error}");
            exit_for(&error).into()
        }
    }
}

fn exit_for(error: &Error) -> Exit {
    match error {
        Error::Unknown(_) => Exit::Unknown,
        Error::Platform(PlatformError::Unreachable(_) | PlatformError::NoAnswer(_))
        | Error::Node { .. }
        | Error::Listen { .. } => Exit::Unavailable,
        _ => Exit::Refused,
    }
}
