//! A small HTTP/1.1 server and client on blocking sockets, enough for the stand-ins.

use std::{
    collections::HashMap,
    io::{self, BufRead, BufReader, Read, Write},
    net::{TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

/// A request or response head and its body. Header names are in lower case.
#[derive(Clone, Default)]
pub struct Message {
    pub first: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// The n-th word of the first line.
    pub fn word(&self, n: usize) -> &str {
        self.first.split(' ').nth(n).unwrap_or("")
    }
}

fn invalid(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what)
}

/// Reads one message; `None` if the connection ends before its first byte.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.first = line.trim_end().to_owned();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(invalid("the head ends early"));
        }
        let text = line.trim_end();
        if text.is_empty() {
            break;
        }
        let (name, value) = text.split_once(':').ok_or_else(|| invalid("a header"))?;
        message
            .headers
            .insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    if message
        .header("transfer-encoding")
        .eq_ignore_ascii_case("chunked")
    {
        loop {
            line.clear();
            reader.read_line(&mut line)?;
            let size = usize::from_str_radix(line.trim(), 16).map_err(|_| invalid("a chunk"))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                break;
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    } else if let Ok(size) = message.header("content-length").parse::<usize>() {
        message.body = vec![0; size];
        reader.read_exact(&mut message.body)?;
    }
    Ok(Some(message))
}

pub fn write_message(
    stream: &mut TcpStream,
    first: &str,
    headers: &[(&str, String)],
    body: &[u8],
) -> io::Result<()> {
    let mut out = format!("{first}\r\n");
    for (name, value) in headers {
        out += &format!("{name}: {value}\r\n");
    }
    out += &format!("Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = out.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Serves connections, each on a thread of its own.
pub fn serve<F>(address: &str, handle: F) -> io::Result<()>
where
    F: Fn(TcpStream) + Send + Sync + 'static,
{
    let listener = TcpListener::bind(address)?;
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            let _ = stream.set_nodelay(true);
            thread::spawn(move || handle(stream));
        }
    });
    Ok(())
}

/// Sends one request over a new connection and reads the response.
pub fn call(
    address: &str,
    first: &str,
    headers: &[(&str, String)],
    body: &[u8],
    limit: Duration,
) -> io::Result<Message> {
    let target = address.parse().map_err(|_| invalid("an address"))?;
    let mut stream = TcpStream::connect_timeout(&target, limit.min(Duration::from_secs(1)))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    write_message(&mut stream, first, headers, body)?;
    read_message(&mut BufReader::new(stream))?
        .ok_or_else(|| io::Error::new(io::ErrorKind::UnexpectedEof, "closed with no answer"))
}
