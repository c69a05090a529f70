//! A caller's connection that detects when the caller disconnects.
//!
//! The HTTP library detects the end of a connection only while it has read nothing beyond the current
//! request. The disconnect of a caller that has pipelined several requests would go unnoticed until
//! all of them have run.

use std::{
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
    time::Duration,
};

use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, Interest, ReadBuf},
    net::TcpStream,
    time::sleep,
};

/// How often a connection with unread bytes is checked: a disconnect has to be noticed within half a
/// second.
const CHECK_INTERVAL: Duration = Duration::from_millis(150);

/// Bytes that are discarded at a time.
const DRAIN_PART: usize = 4 << 10;

/// Most bytes that are discarded before a connection is closed all the same.
const MAX_DRAINED: usize = 4 << 20;

/// A caller's connection, to be read and written by the HTTP library.
pub struct CallerStream {
    socket: Arc<TcpStream>,
    /// Whether bodies are written from where they are held, without a copy.
    vectored: bool,
}

/// Detects that the caller at the other end has disconnected.
#[derive(Clone)]
pub struct Disconnect(Arc<TcpStream>);

/// Splits a connection into a stream to read and write, and a detector of its end.
pub fn split(stream: TcpStream, vectored: bool) -> (CallerStream, Disconnect) {
    let socket = Arc::new(stream);
    let stream = CallerStream {
        socket: Arc::clone(&socket),
        vectored,
    };
    (stream, Disconnect(socket))
}

impl Disconnect {
    /// Waits until the caller has disconnected, or has closed its side for writing.
    pub async fn wait(&self) {
        while let Ok(ready) = self.0.ready(Interest::READABLE).await {
            if ready.is_read_closed() {
                return;
            }
            sleep(CHECK_INTERVAL).await;
        }
    }
}

impl Disconnect {
    /// Reads and discards what arrives until the caller closes the connection, or sends too much. If it were closed with
    /// unread bytes, it would be reset, and the caller would lose what it has not received of its response.
    pub async fn drain(&self) {
        let mut part = vec![0; DRAIN_PART];
        let mut left = MAX_DRAINED;
        while left > 0 && self.0.readable().await.is_ok() {
            match self.0.try_read(&mut part) {
                Ok(read @ 1..) => left = left.saturating_sub(read),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Ok(0) | Err(_) => return,
            }
        }
    }

    /// Makes the end of the connection a reset, so that a response that is cut off doesn't look complete.
    pub fn reset_on_close(&self) {
        if let Err(error) = SockRef::from(&*self.0).set_linger(Some(Duration::ZERO)) {
            let error = error.to_string();
            spdlog::warn!("a connection that is cut can't be reset", kv: { error });
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.socket.poll_read_ready(cx))?;
            match self.socket.try_read(buffer.initialize_unfilled()) {
                Ok(read) => {
                    buffer.advance(read);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.socket.poll_write_ready(cx))?;
            match self.socket.try_write(bytes) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        self.vectored
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.socket.poll_write_ready(cx))?;
            match self.socket.try_write_vectored(buffers) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        let socket = SockRef::from(&*self.socket);
        Poll::Ready(socket.shutdown(std::net::Shutdown::Write))
    }
}
