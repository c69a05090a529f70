//! HTTP/1.1 requests for control calls, each over a new connection.

use std::{io, time::Duration};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
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

/// Largest size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Sends a request and reads the whole response. `limit` bounds the connect and, separately, the
/// exchange.
///
/// # Errors
/// [`NetError`]; only [`NetError::Connect`] proves that nothing was sent.
pub async fn exchange(
    address: &str,
    request: Request<Full<Bytes>>,
    limit: Duration,
) -> Result<(StatusCode, Bytes), NetError> {
    let stream = match timeout(limit, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return Err(NetError::Connect(error)),
        Err(_) => return Err(NetError::Connect(io::ErrorKind::TimedOut.into())),
    };
    match timeout(limit, send_and_receive(stream, request)).await {
        Ok(result) => result,
        Err(_) => Err(NetError::Timeout),
    }
}

async fn send_and_receive(
    stream: TcpStream,
    request: Request<Full<Bytes>>,
) -> Result<(StatusCode, Bytes), NetError> {
    let failed = |e: &dyn std::fmt::Display| NetError::Exchange(e.to_string());
    stream.set_nodelay(true).map_err(|e| failed(&e))?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|e| failed(&e))?;
    let driver = tokio::spawn(connection);
    let response: Response<_> = sender.send_request(request).await.map_err(|e| failed(&e))?;
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
        .collect()
        .await
        .map_err(|e| failed(&e))?;
    driver.abort();
    Ok((status, body.to_bytes()))
}
