//! Errors of the whole program, and the findings that checks collect.

use std::fmt;

use thiserror::Error;

use crate::platform::PlatformError;

/// What ends a program early.
#[derive(Debug, Error)]
pub enum Error {
    /// Files or flags have mistakes; all of them are listed.
    #[error("{0}")]
    Findings(Findings),
    /// A file could not be read.
    #[error("cannot read {path}: {source}")]
    Read {
        /// The file.
        path: String,
        /// What the operating system said.
        source: std::io::Error,
    },
    /// An address could not be listened on.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: String,
        /// What the operating system said.
        source: std::io::Error,
    },
    /// The platform failed a call.
    #[error("platform: {0}")]
    Platform(#[from] PlatformError),
    /// A node could not be asked.
    #[error("node {node}: {reason}")]
    Node {
        /// The address of the node.
        node: String,
        /// What went wrong.
        reason: String,
    },
    /// The change was refused; nothing was applied.
    #[error("refused: {0}; nothing was applied")]
    Refused(String),
    /// The change may or may not have taken effect.
    #[error("unknown whether it took effect: {0}")]
    Unknown(String),
    /// Any other failure of the operating system.
    #[error("{0}")]
    Io(#[from] std::io::Error),
}

data! {
    /// One mistake, with its place.
    pub struct Finding {
        /// The file, or the flag.
        pub source: String,
        /// One-based line; 0 when the finding has none.
        pub line: usize,
        /// One-based column; 0 when the finding has none.
        pub column: usize,
        /// What is wrong, as a sentence without a full stop.
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

/// All mistakes of one check, reported together.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Findings(pub Vec<Finding>);

impl Findings {
    /// Adds a mistake whose line is not known, as where a field is missing.
    pub fn add(&mut self, source: &str, message: String) {
        self.0.push(Finding {
            source: source.to_owned(),
            line: 0,
            column: 0,
            message,
        });
    }

    /// Returns the value when there are no findings, and all of them otherwise.
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
