//! Errors of the whole program, and the findings of the checks of files and flags.

use std::fmt;

use thiserror::Error;

use crate::platform::PlatformError;

/// An error that ends a program.
#[derive(Debug, Error)]
pub enum Error {
    /// Files or flags are invalid; every finding is listed.
    #[error("{0}")]
    Findings(Findings),
    /// A file could not be read.
    #[error("cannot read {path}: {source}")]
    Read {
        /// The path of the file.
        path: String,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// A listener could not be bound to an address.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: String,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// A call to the platform failed.
    #[error("platform: {0}")]
    Platform(#[from] PlatformError),
    /// A query to a node failed.
    #[error("node {node}: {reason}")]
    Node {
        /// The address of the node.
        node: String,
        /// Why the query failed.
        reason: String,
    },
    /// The change was refused; nothing was applied.
    #[error("refused: {0}; nothing was applied")]
    Refused(String),
    /// It is unknown whether the change took effect.
    #[error("unknown whether the change took effect: {0}")]
    Unknown(String),
    /// Any other error of the operating system.
    #[error("{0}")]
    Io(#[from] std::io::Error),
}

data! {
    /// One error in a file or flag, and its position.
    pub struct Finding {
        /// The name of the file or flag.
        pub source: String,
        /// The line, counted from 1; 0 when it is unknown.
        pub line: usize,
        /// The column, counted from 1; 0 when it is unknown.
        pub column: usize,
        /// The error, as a sentence without a full stop.
        pub message: String,
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.line == 0 {
            return write!(f, "{}: {}", self.source, self.message);
        }
        let Self {
            source,
            line,
            column,
            message,
        } = self;
        write!(f, "{source}:{line}:{column}: {message}")
    }
}

/// All findings of one check.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Findings(pub Vec<Finding>);

impl Findings {
    /// Adds a finding whose position is unknown, such as a missing field.
    pub fn add(&mut self, source: &str, message: String) {
        self.0.push(Finding {
            source: source.to_owned(),
            line: 0,
            column: 0,
            message,
        });
    }

    /// Returns the value if there are no findings, and otherwise the findings as an error.
    ///
    /// # Errors
    /// [`Error::Findings`] when at least one finding was collected.
    pub fn into_result<T>(self, value: T) -> Result<T, Error> {
        if self.0.is_empty() {
            Ok(value)
        } else {
            Err(Error::Findings(self))
        }
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, finding) in self.0.iter().enumerate() {
            if i > 0 {
                writeln!(f)?;
            }
            write!(f, "{finding}")?;
        }
        Ok(())
    }
}
