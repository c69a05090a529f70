//! HTTP server and shared handler state for the stand-ins.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use tokio::net::TcpListener;
use viz::{Request, RequestExt, Result, Router, StatusCode, middleware::limits, serve};

/// Largest request body that a stand-in accepts, in bytes.
const MAX_BODY: u64 = 64 << 20;

/// State that handlers share.
pub struct Shared<T>(Arc<Mutex<T>>);

impl<T> Clone for Shared<T> {
    fn clone(&self) -> Self {
        Self(Arc::clone(&self.0))
    }
}

impl<T> Shared<T> {
    /// Wraps a value.
    pub fn new(value: T) -> Self {
        Self(Arc::new(Mutex::new(value)))
    }

    /// Locks the value. Callers must not hold the lock across an await.
    pub fn lock(&self) -> MutexGuard<'_, T> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the shared state of the router that handles a request.
///
/// # Errors
/// Responds with status 500 when the router has no state of this type.
pub fn state<T: Send + 'static>(request: &Request) -> Result<Shared<T>> {
    let state = request.state::<Shared<T>>();
    state.ok_or_else(|| viz::IntoResponse::into_error(StatusCode::INTERNAL_SERVER_ERROR))
}

/// Serves a router on an address until the process ends.
///
/// # Errors
/// Returns the operating system's error when the address can't be bound.
pub async fn listen(address: SocketAddr, router: Router) -> std::io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    let config = limits::Config::new().limits(
        viz::types::Limits::new()
            .set("bytes", MAX_BODY)
            .set("json", MAX_BODY)
            .set("payload", MAX_BODY),
    );
    serve(listener, router.with(config)).await
}
