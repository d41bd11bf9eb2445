//! HTTP/1.1 over blocking sockets, for stand-ins that control every byte.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

/// A request as received.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find_header(&self.headers, name)
    }

    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Returns a parameter of the query.
    pub fn parameter(&self, name: &str) -> Option<&str> {
        let query = self.target.split_once('?')?.1;
        query.split('&').filter_map(|it| it.split_once('=')).find(|it| it.0 == name).map(|it| it.1)
    }
}

pub fn find_header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|it| it.0.eq_ignore_ascii_case(name)).map(|it| it.1.as_str())
}

fn read_line(stream: &mut impl BufRead) -> io::Result<String> {
    let mut line = Vec::new();
    if stream.read_until(b'\n', &mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(String::from_utf8_lossy(&line).trim_end().to_owned())
}

fn read_head(stream: &mut impl BufRead) -> io::Result<(String, Vec<(String, String)>)> {
    let first = read_line(stream)?;
    let mut headers = Vec::new();
    loop {
        let line = read_line(stream)?;
        if line.is_empty() {
            return Ok((first, headers));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

fn read_chunks(stream: &mut impl BufRead, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let size = read_line(stream)?;
        let size = usize::from_str_radix(size.split(';').next().unwrap_or_default().trim(), 16)
            .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        if size == 0 {
            while !read_line(stream)?.is_empty() {}
            return Ok(());
        }
        let start = body.len();
        body.resize(start + size, 0);
        stream.read_exact(&mut body[start..])?;
        read_line(stream)?;
    }
}

fn is_chunked(headers: &[(String, String)]) -> bool {
    find_header(headers, "transfer-encoding").is_some()
}

fn stated_length(headers: &[(String, String)]) -> Option<usize> {
    find_header(headers, "content-length")?.parse().ok()
}

/// Reads one request; an error at the end of the connection.
pub fn read_request(stream: &mut BufReader<TcpStream>) -> io::Result<Request> {
    let (first, headers) = read_head(stream)?;
    let mut words = first.split(' ');
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default().to_owned();
    let mut body = Vec::new();
    if is_chunked(&headers) {
        read_chunks(stream, &mut body)?;
    } else {
        body.resize(stated_length(&headers).unwrap_or(0), 0);
        stream.read_exact(&mut body)?;
    }
    Ok(Request { method, target, headers, body })
}

/// Encodes a response with its length.
pub fn response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 {status} Status\r\n").into_bytes();
    for (name, value) in headers {
        bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    bytes.extend_from_slice(format!("content-length: {}\r\n\r\n", body.len()).as_bytes());
    bytes.extend_from_slice(body);
    bytes
}

/// Accepts connections on a free loopback port and runs `serve` for each in a thread of its own.
pub fn listen(
    serve: impl Fn(TcpStream) -> io::Result<()> + Send + Sync + 'static,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let _ = serve(stream);
            });
        }
    });
    Ok(address)
}

/// Response of a relay, as far as it arrived.
#[derive(Debug, Default)]
pub struct Received {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the response arrived to its end, as its framing states it.
    pub is_complete: bool,
    /// What broke it off.
    pub error: String,
}

/// Encodes a request of a client.
pub fn request(method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("{method} {path} HTTP/1.1\r\n").into_bytes();
    for (name, value) in headers {
        bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    if !body.is_empty() || method != "GET" {
        bytes.extend_from_slice(format!("content-length: {}\r\n", body.len()).as_bytes());
    }
    bytes.extend_from_slice(b"\r\n");
    bytes.extend_from_slice(body);
    bytes
}

/// Sends a request on a new connection and reads the response.
pub fn call(address: SocketAddr, request: &[u8], limit: Duration) -> io::Result<Received> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.write_all(request)?;
    Ok(read_response(&mut BufReader::new(stream)))
}

/// Reads one response; what is missing shows in the result.
pub fn read_response(stream: &mut impl BufRead) -> Received {
    let mut received = Received::default();
    if let Err(error) = read_into(stream, &mut received) {
        received.error = error.to_string();
    }
    received
}

fn read_into(stream: &mut impl BufRead, received: &mut Received) -> io::Result<()> {
    let (first, headers) = read_head(stream)?;
    received.status = first.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0);
    received.headers = headers;
    if is_chunked(&received.headers) {
        read_chunks(stream, &mut received.body)?;
    } else if let Some(length) = stated_length(&received.headers) {
        let read = stream.take(length as u64).read_to_end(&mut received.body)?;
        if read < length {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    } else {
        stream.read_to_end(&mut received.body)?;
    }
    received.is_complete = true;
    Ok(())
}
