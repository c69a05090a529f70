//! The listeners for callers and for other nodes.

use std::{
    convert::Infallible,
    io,
    net::SocketAddr,
    sync::{Arc, OnceLock},
    time::Duration,
};

use futures::FutureExt;
use http::{HeaderValue, Request, Response, StatusCode, Version, header};
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
    node::{Core, activity::Open, caller_stream::split, control_service::ControlService},
    proxy::{ATTEMPT_HEADER, Attempt, Cut},
};

/// How often callers with HTTP/2 are pinged, and how long they may take to answer.
const CALLER_PING_INTERVAL: Duration = Duration::from_secs(10);

/// Largest size of the headers of a caller's request, in bytes.
const MAX_HEADER_SIZE: u32 = 32 << 10;

/// How often other nodes are pinged, and how long they may take to answer.
const PEER_PING_INTERVAL: Duration = Duration::from_secs(1);
const PEER_PING_TIMEOUT: Duration = Duration::from_secs(3);

/// Most concurrent requests on one connection between nodes.
const MAX_STREAMS: u32 = 4_096;

/// How often a starting node checks whether it is ready.
const READY_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Most connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Bytes that the kernel buffers in each direction of a caller's connection, if the node's memory is bounded.
const SOCKET_BUFFER: u32 = 64 << 10;

/// Delay before accepting again after an error, as when file descriptors have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Binds an address without listening on it yet, so that connections are refused until the node is
/// ready.
///
/// # Errors
/// [`Error::Listen`] when the address is in use or does not belong to this machine.
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
/// [`Error::Listen`] when the address is in use or does not belong to this machine.
pub async fn bind(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address)
        .await
        .map_err(listen_error(address))
}

async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                // Without `TCP_NODELAY` the connection is only slower.
                let _ = stream.set_nodelay(true);
                return stream;
            }
            Err(error) => {
                let error = error.to_string();
                spdlog::warn!("failed to accept a connection", kv: { error });
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves callers from when the node is ready until it shuts down, then closes their connections
/// gracefully.
pub async fn serve_callers(core: Arc<Core>, socket: TcpSocket, shutdown: Receiver<bool>) {
    while !core.ready() {
        sleep(READY_CHECK_INTERVAL).await;
    }
    if core.buffers.is_some()
        && let Err(error) = limit_socket_buffers(&socket)
    {
        let error = error.to_string();
        spdlog::warn!("failed to limit the buffers of callers' sockets", kv: { error });
    }
    let listener = match socket.listen(BACKLOG) {
        Ok(listener) => listener,
        Err(error) => {
            let error = error.to_string();
            spdlog::critical!("failed to listen for callers", kv: { error });
            return;
        }
    };
    core.mark_listening();
    spdlog::info!("node is ready");
    loop {
        let stream = tokio::select! {
            stream = accept(&listener) => stream,
            () = wait_for_shutdown(shutdown.clone()) => return,
        };
        let open = core.connections.track();
        let core = Arc::clone(&core);
        tokio::spawn(serve_caller(core, stream, shutdown.clone(), open));
    }
}

/// Limits what callers' connections hold in the kernel, which counts towards the memory of the VM, but not of a lease.
fn limit_socket_buffers(socket: &TcpSocket) -> io::Result<()> {
    socket.set_send_buffer_size(SOCKET_BUFFER)?;
    socket.set_recv_buffer_size(SOCKET_BUFFER)
}

async fn wait_for_shutdown(mut shutdown: Receiver<bool>) {
    // A closed channel means that the node is terminating.
    let _ = shutdown.wait_for(|requested| *requested).await;
}

/// Serves a caller's connection, which counts as open until the end.
async fn serve_caller(core: Arc<Core>, stream: TcpStream, shutdown: Receiver<bool>, _open: Open) {
    let idle = core.settings.idle;
    let http2 = core.header_names.http2;
    let (stream, disconnect) = split(stream, core.buffers.is_some());
    let (cut, socket) = (Cut::default(), disconnect.clone());
    let (reset, ending) = (Arc::clone(&cut), Arc::clone(&core));
    let service = service_fn(move |mut request: Request<Incoming>| {
        let (core, disconnect) = (Arc::clone(&core), disconnect.clone());
        // A connection with several requests at once isn't reset because of one of them, and its responses can't
        // announce its end.
        let is_serial = request.version() < Version::HTTP_2;
        if is_serial {
            request.extensions_mut().insert(Arc::clone(&cut));
        }
        async move {
            let active = core.requests.track();
            let mut response = tokio::select! {
                response = core.ingress.serve(&core, request) => response,
                () = disconnect.wait() => return Err(io::Error::from(io::ErrorKind::ConnectionAborted)),
            };
            if is_serial && core.shutting_down() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            Ok::<_, io::Error>(response.map(|body| hold_until_taken(body, active)))
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
        .max_buf_size(MAX_HEADER_SIZE as usize);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(MAX_HEADER_SIZE)
        .keep_alive_interval(Some(CALLER_PING_INTERVAL))
        .keep_alive_timeout(CALLER_PING_INTERVAL);
    let mut connection = Box::pin(builder.serve_connection(TokioIo::new(stream), service));
    tokio::select! {
        _ = connection.as_mut() => {}
        () = reset.notified() => return socket.reset_on_close(),
        () = wait_for_shutdown(shutdown) => {
            connection.as_mut().graceful_shutdown();
            // Between two requests, it ends at once. A request that crosses the end stays unread, so that its caller can
            // send it again.
            if connection.as_mut().now_or_never().is_some() {
                return;
            }
            tokio::select! {
                _ = connection.as_mut() => {}
                () = reset.notified() => return socket.reset_on_close(),
            }
        }
    }
    drop(connection);
    // The last response has announced the end, so that further requests count as unread.
    if ending.shutting_down() {
        socket.drain().await;
    }
}

/// Keeps a request counted as active until the HTTP library has taken over its response. The library may still hold
/// all of a buffered response then.
fn hold_until_taken<T: Send + 'static>(body: Body, active: T) -> Body {
    use crate::proxy::TrackedBody;
    box_body(TrackedBody::new(body, Box::new(move |_| drop(active))))
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
    let windows = core.windows();
    let control = FleetServer::new(ControlService(Arc::clone(&core)));
    let ending = Arc::clone(&core);
    let carries_attempts = OnceLock::new();
    let service = service_fn(move |request: Request<Incoming>| {
        let authenticated = request
            .headers()
            .get(TOKEN_HEADER)
            .is_some_and(|t| t.as_bytes().ct_eq(token.as_bytes()).into());
        let (core, control) = (Arc::clone(&core), control.clone());
        if authenticated && request.headers().contains_key(ATTEMPT_HEADER) {
            carries_attempts.get_or_init(|| core.links_served.track());
        }
        async move {
            if !authenticated {
                core.metrics.record_unauthenticated();
                return Ok::<_, Infallible>(forbidden());
            }
            Ok(dispatch(&core, control, request).await)
        }
    });
    let mut builder = http2::Builder::new(TokioExecutor::new());
    builder
        .timer(TokioTimer::new())
        .max_concurrent_streams(MAX_STREAMS)
        .max_header_list_size(2 * MAX_HEADER_SIZE)
        .initial_stream_window_size(windows.stream)
        .initial_connection_window_size(windows.connection)
        .keep_alive_interval(PEER_PING_INTERVAL)
        .keep_alive_timeout(PEER_PING_TIMEOUT);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    // If the connection fails, the other node resolves the outcome of its requests itself.
    tokio::select! {
        _ = connection.as_mut() => return,
        () = ending.wait_for_termination() => connection.as_mut().graceful_shutdown(),
    }
    // It ends once the other node has read all responses.
    let _ = connection.await;
}

fn forbidden() -> Response<Body> {
    let mut response = Response::new(empty());
    *response.status_mut() = StatusCode::FORBIDDEN;
    response
}

async fn dispatch(
    core: &Arc<Core>,
    mut control: FleetServer<ControlService>,
    mut request: Request<Incoming>,
) -> Response<Body> {
    request.headers_mut().remove(TOKEN_HEADER);
    if request.headers().contains_key(ATTEMPT_HEADER) {
        return match Attempt::take_headers(request.headers_mut()) {
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

/// Returns a function that converts an I/O error into one that names the address.
pub fn listen_error(address: SocketAddr) -> impl Fn(io::Error) -> Error {
    move |source| Error::Listen {
        address: address.to_string(),
        source,
    }
}
