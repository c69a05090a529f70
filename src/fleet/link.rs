//! Links to other nodes: one HTTP/2 connection each, kept alive by pings and without automatic
//! retries.

use std::{
    collections::HashMap,
    io,
    net::{IpAddr, SocketAddr},
    sync::{Arc, Mutex, PoisonError},
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use futures::future::BoxFuture;
use http::{HeaderValue, Request, Response, Uri, header::HeaderName};
use http_body_util::{BodyExt, Empty, Full, combinators::UnsyncBoxBody};
use hyper::{body::Incoming, client::conn::http2};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use thiserror::Error;
use tokio::{
    net::{TcpSocket, TcpStream},
    sync::Mutex as AsyncMutex,
    time::timeout,
};
use tower_service::Service;

use crate::fleet::codec::fleet_client::FleetClient;

/// The header that carries the token derived from the fleet secret.
pub const TOKEN_HEADER: HeaderName = HeaderName::from_static("mjd-token");

/// How long connecting to another node may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval between HTTP/2 pings on a link.
const PING_INTERVAL: Duration = Duration::from_millis(500);

/// How long the answer to a ping may take before the link is closed.
const PING_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Window of a stream of a node with bounded memory, in bytes.
pub const SMALL_WINDOW: u32 = 64 << 10;

/// Flow control windows of a connection between nodes, in bytes.
#[derive(Debug, Clone, Copy)]
pub struct Windows {
    /// Bytes of one stream that its receiver has not read.
    pub stream: u32,
    /// Bytes of all streams together.
    pub connection: u32,
}

impl Default for Windows {
    fn default() -> Self {
        Self {
            stream: 512 << 10,
            connection: 4 << 20,
        }
    }
}

impl Windows {
    /// Returns the windows of a node with bounded memory.
    ///
    /// Streams that are not read use up the window of the connection, and block all others then. Here it takes 64 of
    /// them, and each holds little.
    #[must_use]
    pub fn small() -> Self {
        Self {
            stream: SMALL_WINDOW,
            ..Self::default()
        }
    }
}

/// An error of any type that occurs while a body is read.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// The body of a forwarded request or response.
pub type Body = UnsyncBoxBody<Bytes, BoxError>;

/// Converts a body of any type into a [`Body`].
pub fn box_body<B>(body: B) -> Body
where
    B: hyper::body::Body<Data = Bytes> + Send + 'static,
    B::Error: Into<BoxError>,
{
    body.map_err(Into::into).boxed_unsync()
}

/// Returns a body without content.
#[must_use]
pub fn empty() -> Body {
    box_body(Empty::new())
}

/// Returns a body with the given content.
#[must_use]
pub fn full(content: impl Into<Bytes>) -> Body {
    box_body(Full::new(content.into()))
}

/// Why a request could not be sent over a link.
#[derive(Debug, Error)]
pub enum LinkError {
    /// The connection could not be opened, so nothing was sent.
    #[error("cannot connect: {0}")]
    Connect(io::Error),
    /// The connection broke; the request may have arrived.
    #[error("the link broke: {0}")]
    Broken(#[from] hyper::Error),
}

/// An HTTP/2 connection to another node; clones share the connection.
#[derive(Clone)]
pub struct Link {
    sender: http2::SendRequest<Body>,
    token: HeaderValue,
}

impl Link {
    /// Connects to a node, from the local address `source` if one is given.
    ///
    /// # Errors
    /// [`LinkError`] when the connection could not be opened.
    pub async fn connect(
        address: &str,
        source: Option<IpAddr>,
        token: &HeaderValue,
        windows: Windows,
    ) -> Result<Self, LinkError> {
        let stream = match timeout(CONNECT_TIMEOUT, dial(address, source)).await {
            Ok(result) => result.map_err(LinkError::Connect)?,
            Err(_) => return Err(LinkError::Connect(io::ErrorKind::TimedOut.into())),
        };
        let handshake = http2::Builder::new(TokioExecutor::new())
            .timer(TokioTimer::new())
            .keep_alive_interval(PING_INTERVAL)
            .keep_alive_timeout(PING_TIMEOUT)
            .keep_alive_while_idle(true)
            .initial_stream_window_size(windows.stream)
            .initial_connection_window_size(windows.connection)
            .handshake(TokioIo::new(stream));
        let (sender, connection) = handshake.await?;
        tokio::spawn(async move {
            // Requests on the connection get its error themselves.
            let _ = connection.await;
        });
        Ok(Self {
            sender,
            token: token.clone(),
        })
    }

    /// Returns whether the connection is closed.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Adds the token to a request and sends it, without retrying.
    ///
    /// # Errors
    /// [`hyper::Error`] when the link broke; the request may have arrived.
    pub async fn send(
        &self,
        mut request: Request<Body>,
    ) -> Result<Response<Incoming>, hyper::Error> {
        let token = self.token.clone();
        request.headers_mut().insert(TOKEN_HEADER, token);
        self.sender.clone().send_request(request).await
    }

    /// Returns a client for control calls over this link.
    #[must_use]
    pub fn client(&self, address: &str) -> FleetClient<Self> {
        let origin = Uri::builder()
            .scheme("http")
            .authority(address)
            .path_and_query("/")
            .build()
            .unwrap_or_default();
        FleetClient::with_origin(self.clone(), origin)
    }
}

impl Service<Request<tonic::body::Body>> for Link {
    type Response = Response<Incoming>;
    type Error = hyper::Error;
    type Future = BoxFuture<'static, Result<Self::Response, Self::Error>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: Request<tonic::body::Body>) -> Self::Future {
        let link = self.clone();
        let request = request.map(box_body);
        Box::pin(async move { link.send(request).await })
    }
}

async fn dial(address: &str, source: Option<IpAddr>) -> io::Result<TcpStream> {
    let address: SocketAddr = address
        .parse()
        .map_err(|_| io::Error::from(io::ErrorKind::InvalidInput))?;
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    if let Some(source) = source {
        socket.bind(SocketAddr::new(source, 0))?;
    }
    let stream = socket.connect(address).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

type SharedLink = Arc<AsyncMutex<Option<Link>>>;

/// The links of a node, one for each other node.
pub struct Links {
    source: Option<IpAddr>,
    token: HeaderValue,
    windows: Windows,
    by_address: Mutex<HashMap<String, SharedLink>>,
}

impl Links {
    /// Creates an empty set of links that connect from `source` and send `token` with each request.
    #[must_use]
    pub fn new(source: Option<IpAddr>, token: HeaderValue) -> Self {
        Self {
            source,
            token,
            windows: Windows::default(),
            by_address: Mutex::default(),
        }
    }

    /// Sets the flow control windows of new connections.
    #[must_use]
    pub fn with_windows(self, windows: Windows) -> Self {
        Self { windows, ..self }
    }

    /// Returns the link to a node; connects first if there is none or it is closed.
    ///
    /// # Errors
    /// [`LinkError`] when the connection could not be opened.
    pub async fn get(&self, address: &str) -> Result<Link, LinkError> {
        let shared = {
            let mut links = self
                .by_address
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            Arc::clone(links.entry(address.to_owned()).or_default())
        };
        let mut current = shared.lock().await;
        if let Some(link) = current.as_ref().filter(|l| !l.is_closed()) {
            return Ok(link.clone());
        }
        let link = self.connect(address).await?;
        *current = Some(link.clone());
        Ok(link)
    }

    /// Opens a new connection, which is not kept for later calls of [`Links::get`].
    ///
    /// It shows whether a node doesn't respond, or only an existing connection to it is broken.
    ///
    /// # Errors
    /// [`LinkError`] when the connection could not be opened.
    pub async fn connect(&self, address: &str) -> Result<Link, LinkError> {
        Link::connect(address, self.source, &self.token, self.windows).await
    }

    /// Discards the link to a node, so that the next request connects again.
    pub async fn discard(&self, address: &str) {
        let shared = {
            let links = self
                .by_address
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            links.get(address).cloned()
        };
        if let Some(shared) = shared {
            shared.lock().await.take();
        }
    }
}
