//! HTTP/1.1 requests for control calls, each over a new connection.

use std::{io, time::Duration};

use bytes::{Bytes, BytesMut};
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::{net::TcpStream, time::timeout};

/// The reason why a request failed.
#[derive(Debug, Error)]
pub enum NetError {
    /// No connection was established, so nothing was sent.
    #[error("cannot connect: {0}")]
    Connect(io::Error),
    /// The exchange failed after the peer may have read the request.
    #[error("the exchange failed: {0}")]
    Exchange(String),
    /// The complete response did not arrive in time.
    #[error("timed out waiting for the response")]
    Timeout,
}

/// How long the parts of an exchange may take, and how large its response may be.
#[derive(Debug, Clone, Copy)]
pub struct ExchangeLimits {
    /// Longest time for connecting, for the response head, and between two parts of the response body.
    pub step: Duration,
    /// Longest time from the connection to the end of the response body. A large response may take many steps
    /// over a slow link.
    pub total: Duration,
    /// Largest response body in bytes.
    pub size: usize,
}

impl ExchangeLimits {
    /// Limits the exchange as a whole to the same time as connecting.
    #[must_use]
    pub const fn whole(limit: Duration) -> Self {
        Self::stepwise(limit, limit)
    }

    /// Limits each step of the exchange, and the exchange as a whole.
    #[must_use]
    pub const fn stepwise(step: Duration, total: Duration) -> Self {
        Self {
            step,
            total,
            size: MAX_RESPONSE_BYTES,
        }
    }
}

/// Most bytes of a connection that are read ahead, which also limits the head of a response.
const MAX_READ_AHEAD: usize = 64 << 10;

/// Largest size of a response body in bytes, unless the caller sets a smaller one.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Sends a request and reads the status and the body of the response.
///
/// # Errors
/// [`NetError`]; only [`NetError::Connect`] proves that nothing was sent.
pub async fn exchange(
    address: &str,
    request: Request<Full<Bytes>>,
    limits: ExchangeLimits,
) -> Result<(StatusCode, Bytes), NetError> {
    let (head, content) = fetch(address, request, limits).await?.into_parts();
    Ok((head.status, content))
}

/// Sends a request and reads the whole response.
///
/// # Errors
/// [`NetError`]; only [`NetError::Connect`] proves that nothing was sent.
pub async fn fetch(
    address: &str,
    request: Request<Full<Bytes>>,
    limits: ExchangeLimits,
) -> Result<Response<Bytes>, NetError> {
    let stream = match timeout(limits.step, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return Err(NetError::Connect(error)),
        Err(_) => return Err(NetError::Connect(io::ErrorKind::TimedOut.into())),
    };
    let exchange = send_and_receive(stream, request, limits);
    match timeout(limits.total, exchange).await {
        Ok(result) => result,
        Err(_) => Err(NetError::Timeout),
    }
}

/// Sends a request and reads the response, whose head and parts of the body may each take as long as a step.
async fn send_and_receive(
    stream: TcpStream,
    request: Request<Full<Bytes>>,
    limits: ExchangeLimits,
) -> Result<Response<Bytes>, NetError> {
    stream.set_nodelay(true).map_err(failed)?;
    let (mut sender, connection) = http1::Builder::new()
        .max_buf_size(MAX_READ_AHEAD)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(failed)?;
    let driver = tokio::spawn(connection);
    let response = timeout(limits.step, sender.send_request(request)).await;
    let response = response.map_err(|_| NetError::Timeout)?.map_err(failed)?;
    let (head, body) = response.into_parts();
    let content = read_body(body, limits).await?;
    driver.abort();
    Ok(Response::from_parts(head, content))
}

async fn read_body(body: Incoming, limits: ExchangeLimits) -> Result<Bytes, NetError> {
    let mut body = Limited::new(body, limits.size);
    let mut content = BytesMut::new();
    while let Some(frame) = timeout(limits.step, body.frame())
        .await
        .map_err(|_| NetError::Timeout)?
    {
        if let Ok(part) = frame.map_err(failed)?.into_data() {
            content.extend_from_slice(&part);
        }
    }
    Ok(content.freeze())
}

fn failed(error: impl std::fmt::Display) -> NetError {
    NetError::Exchange(error.to_string())
}
