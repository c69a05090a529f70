//! The listeners for callers and for other nodes.

use std::{convert::Infallible, io, net::SocketAddr, sync::Arc, time::Duration};

use http::{Request, Response, StatusCode};
use hyper::{body::Incoming, server::conn::http2, service::service_fn};
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::conn::auto,
};
use subtle::ConstantTimeEq;
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    sync::watch::Receiver,
    time::sleep,
};
use tower_service::Service as _;

use crate::{
    error::Error,
    fleet::{Body, TOKEN_HEADER, box_body, codec::fleet_server::FleetServer, empty},
    node::{Core, service::Service, stream::watch},
    proxy::{ATTEMPT_HEADER, Attempt},
};

/// How often callers with HTTP/2 are pinged, and how long an answer is waited for.
const CALLER_PING: Duration = Duration::from_secs(10);

/// Bytes that the head of a request may have.
const LARGEST_HEAD: u32 = 32 << 10;

/// How often other nodes are pinged, and how long an answer is waited for.
const PING_EVERY: Duration = Duration::from_secs(1);
const PING_TIMEOUT: Duration = Duration::from_secs(3);

/// Requests that one link carries at once.
const MOST_STREAMS: u32 = 4_096;

/// Flow control windows of a link, in bytes.
const STREAM_WINDOW: u32 = 512 << 10;
const CONNECTION_WINDOW: u32 = 4 << 20;

/// How often a starting node looks whether it is ready.
const READY_EVERY: Duration = Duration::from_millis(20);

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;

/// How long accepting rests when the machine has no more files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Takes an address without listening on it yet, so that callers are refused and go elsewhere.
///
/// # Errors
/// [`Error::Listen`] when it is taken or not of this machine.
pub fn reserve(address: SocketAddr) -> Result<TcpSocket, Error> {
    let socket = match address.is_ipv4() {
        true => TcpSocket::new_v4(),
        false => TcpSocket::new_v6(),
    };
    let bound = socket.and_then(|socket| {
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        Ok(socket)
    });
    bound.map_err(listen_error(address))
}

/// Listens on an address.
///
/// # Errors
/// [`Error::Listen`] when it is taken or not of this machine.
pub async fn bind(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address)
        .await
        .map_err(listen_error(address))
}

async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                // Only latency suffers where this fails.
                let _ = stream.set_nodelay(true);
                return stream;
            }
            Err(error) => {
                let error = error.to_string();
                spdlog::warn!("connection not accepted", kv: { error });
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Serves callers, once the node is ready, until told to stop; their connections end in order.
pub async fn serve_callers(core: Arc<Core>, socket: TcpSocket, stop: Receiver<bool>) {
    while !core.ready() {
        sleep(READY_EVERY).await;
    }
    let listener = match socket.listen(BACKLOG) {
        Ok(listener) => listener,
        Err(error) => {
            let error = error.to_string();
            spdlog::critical!("cannot listen for callers", kv: { error });
            return;
        }
    };
    core.open();
    spdlog::info!("node is ready");
    loop {
        let stream = tokio::select! {
            stream = accept(&listener) => stream,
            () = stopped(stop.clone()) => return,
        };
        tokio::spawn(serve_caller(Arc::clone(&core), stream, stop.clone()));
    }
}

async fn stopped(mut stop: Receiver<bool>) {
    // A closed channel means that the node ends.
    let _ = stop.wait_for(|stop| *stop).await;
}

async fn serve_caller(core: Arc<Core>, stream: TcpStream, stop: Receiver<bool>) {
    let idle = core.settings.idle;
    let http2 = core.dialect.http2;
    let (stream, presence) = watch(stream);
    let service = service_fn(move |request: Request<Incoming>| {
        let (core, presence) = (Arc::clone(&core), presence.clone());
        async move {
            let busy = core.busy();
            let response = tokio::select! {
                response = core.entry.serve(&core, request) => response,
                () = presence.left() => return Err(io::Error::from(io::ErrorKind::ConnectionAborted)),
            };
            Ok::<_, io::Error>(response.map(|body| hold_busy(body, busy)))
        }
    });
    let mut builder = auto::Builder::new(TokioExecutor::new());
    if !http2 {
        builder = builder.http1_only();
    }
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(LARGEST_HEAD as usize);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(LARGEST_HEAD)
        .keep_alive_interval(Some(CALLER_PING))
        .keep_alive_timeout(CALLER_PING);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => return,
        () = stopped(stop) => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}

/// Keeps a request counted as under way until its answer was sent.
fn hold_busy<T: Send + 'static>(body: Body, busy: T) -> Body {
    use crate::proxy::TrackedBody;
    box_body(TrackedBody::new(body, Box::new(move |_| drop(busy))))
}

/// Serves other nodes until the process ends.
pub async fn serve_fleet(core: Arc<Core>, listener: TcpListener) {
    loop {
        let stream = accept(&listener).await;
        tokio::spawn(serve_link(Arc::clone(&core), stream));
    }
}

async fn serve_link(core: Arc<Core>, stream: TcpStream) {
    let token = core.settings.secret.token();
    let control = FleetServer::new(Service(Arc::clone(&core)));
    let service = service_fn(move |request: Request<Incoming>| {
        let known = request
            .headers()
            .get(TOKEN_HEADER)
            .is_some_and(|t| t.as_bytes().ct_eq(token.as_bytes()).into());
        let (core, control) = (Arc::clone(&core), control.clone());
        async move {
            if !known {
                core.metrics.refused_stranger();
                return Ok::<_, Infallible>(forbidden());
            }
            Ok(dispatch(&core, control, request).await)
        }
    });
    let mut builder = http2::Builder::new(TokioExecutor::new());
    builder
        .timer(TokioTimer::new())
        .max_concurrent_streams(MOST_STREAMS)
        .max_header_list_size(2 * LARGEST_HEAD)
        .initial_stream_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .keep_alive_interval(PING_EVERY)
        .keep_alive_timeout(PING_TIMEOUT);
    // The other side finds out about its requests by itself.
    let _ = builder
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

fn forbidden() -> Response<Body> {
    let mut response = Response::new(empty());
    *response.status_mut() = StatusCode::FORBIDDEN;
    response
}

async fn dispatch(
    core: &Arc<Core>,
    mut control: FleetServer<Service>,
    mut request: Request<Incoming>,
) -> Response<Body> {
    request.headers_mut().remove(TOKEN_HEADER);
    if request.headers().contains_key(ATTEMPT_HEADER) {
        return match Attempt::take(request.headers_mut()) {
            Ok(attempt) => {
                let request = request.map(box_body);
                core.egress.serve(core, attempt, request).await
            }
            Err(_) => {
                let mut response = Response::new(empty());
                *response.status_mut() = StatusCode::BAD_REQUEST;
                response
            }
        };
    }
    match control.call(request).await {
        Ok(response) => response.map(box_body),
        Err(never) => match never {},
    }
}

/// Turns an error of the operating system into one that names the address.
pub fn listen_error(address: SocketAddr) -> impl Fn(io::Error) -> Error {
    move |source| Error::Listen {
        address: address.to_string(),
        source,
    }
}
