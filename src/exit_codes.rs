//! Exit codes of the command-line tools.

use std::process::ExitCode;

value! {
    /// The outcome of a tool.
    pub enum Exit {
        /// The tool did everything that was requested.
        Success,
        /// The input is invalid, or the request was refused; nothing was changed.
        Refused,
        /// A required system could not be reached.
        Unavailable,
        /// It is unknown whether the change took effect.
        Unknown,
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(match exit {
            Exit::Success => 0,
            Exit::Refused => 1,
            Exit::Unavailable => 3,
            Exit::Unknown => 4,
        })
    }
}
