//! Exchanges with a target over HTTP/1.1.
//!
//! A connection carries one exchange at a time. It is reused only after a complete exchange, within
//! a short idle time and for idempotent requests: if an idle connection has died unnoticed, a
//! request sent on it gets no response, and a non-idempotent request can't be repeated.

use std::{
    io,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use http::{Request, Response};
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, time::timeout};

use crate::{clock::Clock, fleet::Body};

/// Timeout for opening a connection to a target.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// How long an idle connection may be reused.
const MAX_IDLE_TIME: Duration = Duration::from_secs(1);

/// Most bytes of a connection that are read ahead, which also limits the head of a response. It bounds the memory and
/// the processor time that a target takes which sends without end.
const MAX_READ_AHEAD: usize = 64 << 10;

/// Maximum number of idle connections to one target.
const MAX_IDLE_CONNECTIONS: usize = 16;

/// A connection to a target.
pub struct Connection {
    sender: http1::SendRequest<Body>,
    /// When it was opened.
    pub opened: Instant,
}

/// Idle connections to one target.
#[derive(Default)]
pub struct ConnectionPool {
    /// The connections, and since when each is idle.
    idle: Mutex<Vec<(Connection, Instant)>>,
}

impl ConnectionPool {
    fn take(&self, now: Instant) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|(connection, idle_since)| {
            now < *idle_since + MAX_IDLE_TIME && !connection.sender.is_closed()
        });
        idle.pop().map(|(connection, _)| connection)
    }

    /// Puts a connection into the pool after a complete exchange. A closed connection, and one beyond
    /// [`MAX_IDLE_CONNECTIONS`], is dropped instead.
    pub fn put(&self, connection: Connection, now: Instant) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if idle.len() < MAX_IDLE_CONNECTIONS && !connection.sender.is_closed() {
            idle.push((connection, now));
        }
    }
}

/// A connection that is ready for one exchange.
pub struct Exchange {
    connection: Connection,
    /// Whether the connection carried another exchange before.
    pub reused: bool,
}

impl Exchange {
    /// Takes an idle connection from the pool if `reuse` allows it, or else opens a new one.
    ///
    /// # Errors
    /// [`io::Error`] if the connection can't be opened; nothing of a request has been sent then.
    pub async fn open(
        address: &str,
        pool: &Arc<ConnectionPool>,
        reuse: bool,
        clock: &dyn Clock,
    ) -> io::Result<Self> {
        if reuse && let Some(connection) = pool.take(clock.now()) {
            return Ok(Self {
                connection,
                reused: true,
            });
        }
        let connect = timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
        let stream = connect.await.map_err(|_| io::ErrorKind::TimedOut)??;
        stream.set_nodelay(true)?;
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(MAX_READ_AHEAD)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        tokio::spawn(async move {
            // An error of the connection is reported to the exchange that uses it.
            let _ = driver.await;
        });
        Ok(Self {
            connection: Connection {
                sender,
                opened: clock.now(),
            },
            reused: false,
        })
    }

    /// Sends the request once, and returns the response, with its body still to be read, and the
    /// connection.
    ///
    /// # Errors
    /// [`hyper::Error`] if the exchange fails; the request may have run.
    pub async fn send(
        mut self,
        request: Request<Body>,
    ) -> Result<(Response<Incoming>, Connection), hyper::Error> {
        let response = self.connection.sender.send_request(request).await?;
        Ok((response, self.connection))
    }
}
