//! The platform's table and object store, behind a struct of functions.
//!
//! To support another platform, add a function like [`http_platform`] that creates a [`Platform`].

mod client;

use std::{fmt::Display, sync::Arc};

use bytes::Bytes;
use futures::future::BoxFuture;
use http::StatusCode;
use thiserror::Error;

pub use self::client::{HttpClient, http_platform};
use crate::net::NetError;

/// Why a call to the platform failed.
#[derive(Debug, Clone, Error)]
pub enum PlatformError {
    /// The platform could not be reached, so nothing was sent.
    #[error("cannot be reached: {0}")]
    Unreachable(String),
    /// No usable answer arrived; the call may have taken effect.
    #[error("did not answer: {0}")]
    NoAnswer(String),
    /// A request could not be encoded, an answer could not be decoded, or stored content is invalid.
    #[error("invalid data: {0}")]
    Malformed(String),
}

impl From<NetError> for PlatformError {
    fn from(error: NetError) -> Self {
        match error {
            NetError::Connect(e) => Self::Unreachable(e.to_string()),
            other => Self::NoAnswer(other.to_string()),
        }
    }
}

/// Converts an error into [`PlatformError::Malformed`].
pub fn malformed(error: impl Display) -> PlatformError {
    PlatformError::Malformed(error.to_string())
}

/// Checks that a status reports success.
///
/// # Errors
/// [`PlatformError::NoAnswer`] for any other status, since the call may have taken effect all the
/// same.
pub fn check_status(status: StatusCode) -> Result<(), PlatformError> {
    if status.is_success() {
        return Ok(());
    }
    Err(PlatformError::NoAnswer(format!("status {status}")))
}

section! {
    /// A row of the table.
    pub struct Row {
        /// The version, which increases with each write; 0 stands for a row that does not exist.
        pub version: u64,
        /// The value of the row.
        pub value: String,
    }

    /// A condition of a commit: the version that a row must have.
    pub struct Condition {
        /// The key of the row.
        pub key: String,
        /// The required version; 0 if the row must not exist.
        pub version: u64,
    }

    /// One write of a commit.
    pub struct Write {
        /// The key of the row.
        pub key: String,
        /// The new value; `None` deletes the row.
        pub value: Option<String>,
    }
}

/// Rows with their keys.
pub type Rows = Vec<(String, Row)>;

/// The pending result of a call.
pub type PlatformFuture<T> = BoxFuture<'static, Result<T, PlatformError>>;

/// The functions of a platform; see the methods of the same names.
#[derive(Clone)]
pub struct Platform {
    pub(crate) read: Arc<dyn Fn(String) -> PlatformFuture<Option<Row>> + Send + Sync>,
    pub(crate) scan: Arc<dyn Fn(String) -> PlatformFuture<Rows> + Send + Sync>,
    #[expect(clippy::type_complexity)]
    pub(crate) commit:
        Arc<dyn Fn(Vec<Condition>, Vec<Write>) -> PlatformFuture<bool> + Send + Sync>,
    pub(crate) get: Arc<dyn Fn(String) -> PlatformFuture<Option<Bytes>> + Send + Sync>,
    pub(crate) put: Arc<dyn Fn(String, Bytes) -> PlatformFuture<()> + Send + Sync>,
    pub(crate) timeline: Arc<dyn Fn() -> u64 + Send + Sync>,
}

impl Platform {
    /// Creates a platform from its functions; see the methods of the same names.
    #[must_use]
    pub fn new(
        read: impl Fn(String) -> PlatformFuture<Option<Row>> + Send + Sync + 'static,
        scan: impl Fn(String) -> PlatformFuture<Rows> + Send + Sync + 'static,
        commit: impl Fn(Vec<Condition>, Vec<Write>) -> PlatformFuture<bool> + Send + Sync + 'static,
        get: impl Fn(String) -> PlatformFuture<Option<Bytes>> + Send + Sync + 'static,
        put: impl Fn(String, Bytes) -> PlatformFuture<()> + Send + Sync + 'static,
    ) -> Self {
        Self {
            read: Arc::new(read),
            scan: Arc::new(scan),
            commit: Arc::new(commit),
            get: Arc::new(get),
            put: Arc::new(put),
            timeline: Arc::new(|| 0),
        }
    }

    /// Sets the function that returns the platform's timeline, for platforms that may come back from a copy.
    #[must_use]
    pub fn with_timeline(self, timeline: impl Fn() -> u64 + Send + Sync + 'static) -> Self {
        Self {
            timeline: Arc::new(timeline),
            ..self
        }
    }

    /// Returns the newest timeline that an answer of the platform has stated. It increases each time the platform
    /// comes back from a copy, which may lack what was written last.
    #[must_use]
    pub fn timeline(&self) -> u64 {
        (self.timeline)()
    }

    /// Reads a row.
    ///
    /// # Errors
    /// [`PlatformError`] when the call to the table fails.
    pub async fn read(&self, key: &str) -> Result<Option<Row>, PlatformError> {
        (self.read)(key.to_owned()).await
    }

    /// Reads all rows whose keys have a prefix.
    ///
    /// # Errors
    /// [`PlatformError`] when the call to the table fails.
    pub async fn scan(&self, prefix: &str) -> Result<Vec<(String, Row)>, PlatformError> {
        (self.scan)(prefix.to_owned()).await
    }

    /// Applies all writes at once if all conditions hold, and returns whether they did.
    ///
    /// # Errors
    /// [`PlatformError`]; only [`PlatformError::Unreachable`] proves that nothing was written.
    pub async fn commit(
        &self,
        conditions: Vec<Condition>,
        writes: Vec<Write>,
    ) -> Result<bool, PlatformError> {
        (self.commit)(conditions, writes).await
    }

    /// Reads an object.
    ///
    /// # Errors
    /// [`PlatformError`] when the call to the object store fails.
    pub async fn get(&self, name: &str) -> Result<Option<Bytes>, PlatformError> {
        (self.get)(name.to_owned()).await
    }

    /// Writes an object.
    ///
    /// # Errors
    /// [`PlatformError`] when the call to the object store fails.
    pub async fn put(&self, name: &str, content: Bytes) -> Result<(), PlatformError> {
        (self.put)(name.to_owned(), content).await
    }
}
