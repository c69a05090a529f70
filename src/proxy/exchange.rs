//! Exchanges with a target over HTTP/1.1.
//!
//! A connection carries one exchange at a time and is reused only after a whole one, soon, and for
//! idempotent requests: one that went silent meanwhile must not cost an order its answer.

use std::{
    io,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use http::{Request, Response};
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, time::timeout};

use crate::fleet::Body;

/// How long a connection to a target may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a connection that rests is trusted.
const MAX_IDLE_TIME: Duration = Duration::from_secs(1);

/// Connections that rest at one target, at most.
const MAX_IDLE_CONNECTIONS: usize = 16;

type Sender = http1::SendRequest<Body>;

/// Connections that rest between exchanges.
#[derive(Default)]
pub struct ConnectionPool {
    idle: Mutex<Vec<(Sender, Instant)>>,
}

impl ConnectionPool {
    fn take(&self, now: Instant) -> Option<Sender> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|(sender, idle_since)| {
            now < *idle_since + MAX_IDLE_TIME && !sender.is_closed()
        });
        idle.pop().map(|(sender, _)| sender)
    }

    /// Takes a connection back after a whole exchange.
    pub fn put(&self, sender: Sender, now: Instant) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if idle.len() < MAX_IDLE_CONNECTIONS && !sender.is_closed() {
            idle.push((sender, now));
        }
    }
}

/// A connection that is ready for one exchange.
pub struct Exchange {
    sender: Sender,
}

impl Exchange {
    /// Takes a connection that rests, if that is allowed, or makes a new one.
    ///
    /// # Errors
    /// [`io::Error`] when no connection could be made; nothing was sent then.
    pub async fn open(
        address: &str,
        pool: &Arc<ConnectionPool>,
        reuse: bool,
        now: Instant,
    ) -> io::Result<Self> {
        if reuse && let Some(sender) = pool.take(now) {
            return Ok(Self { sender });
        }
        let connect = timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
        let stream = connect.await.map_err(|_| io::ErrorKind::TimedOut)??;
        stream.set_nodelay(true)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        tokio::spawn(async move {
            // The end of the connection reaches the exchange on it.
            let _ = connection.await;
        });
        Ok(Self { sender })
    }

    /// Sends the request, once, and returns the head of the answer and the connection.
    ///
    /// # Errors
    /// [`hyper::Error`] when the exchange broke; the request may have run.
    pub async fn send(
        mut self,
        request: Request<Body>,
    ) -> Result<(Response<Incoming>, Sender), hyper::Error> {
        let response = self.sender.send_request(request).await?;
        Ok((response, self.sender))
    }
}
