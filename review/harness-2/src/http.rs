//! Minimal HTTP/1.1, written by hand so that a stand-in decides on every byte that it sends.

use std::{io, net::SocketAddr, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
};

/// Largest head of a message, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The three words of the first line.
    pub first: [String; 3],
    /// Headers with lower-case names.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// False if the connection ended within the body.
    pub is_complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(it, _)| it == name).map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        &self.first[0]
    }

    pub fn target(&self) -> &str {
        &self.first[1]
    }

    /// Status of a response; 0 if it can't be read.
    pub fn status(&self) -> u16 {
        self.first[1].parse().unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A connection with the bytes that have arrived and are not used yet.
#[derive(Debug)]
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
    /// Most bytes that are read at once.
    chunk_bytes: usize,
    /// Pause before each read.
    pause: Duration,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new(), chunk_bytes: 16 * 1024, pause: Duration::ZERO }
    }

    pub async fn open(address: SocketAddr) -> io::Result<Self> {
        Ok(Self::new(TcpStream::connect(address).await?))
    }

    /// Opens a connection whose receive window is small.
    pub async fn open_with_window(address: SocketAddr, bytes: u32) -> io::Result<Self> {
        let socket = TcpSocket::new_v4()?;
        socket.set_recv_buffer_size(bytes)?;
        Ok(Self::new(socket.connect(address).await?))
    }

    /// Reads no more than a number of bytes after each pause from now on.
    pub fn read_slowly(&mut self, chunk_bytes: usize, pause: Duration) {
        (self.chunk_bytes, self.pause) = (chunk_bytes, pause);
    }

    /// Reads more bytes; returns false at the end of the connection.
    async fn fill(&mut self) -> io::Result<bool> {
        if !self.pause.is_zero() {
            tokio::time::sleep(self.pause).await;
        }
        let mut chunk = vec![0; self.chunk_bytes];
        let read = self.stream.read(&mut chunk).await?;
        self.buffer.extend_from_slice(&chunk[..read]);
        Ok(read > 0)
    }

    /// Reads the head of a response, whose body is left unread.
    pub async fn read_head(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(at) = self.buffer.windows(4).position(|it| it == b"\r\n\r\n") {
                break at + 4;
            }
            if self.buffer.len() > MAX_HEAD_BYTES {
                return Err(io::Error::other("the head is too long"));
            }
            if !self.fill().await? {
                return Ok(None);
            }
        };
        let head: Vec<u8> = self.buffer.drain(..end).collect();
        let head = String::from_utf8_lossy(&head).into_owned();
        let mut lines = head.split("\r\n");
        let mut words = lines.next().unwrap_or_default().splitn(3, ' ').map(str::to_owned);
        let mut message = Message { is_complete: true, ..Message::default() };
        for word in &mut message.first {
            *word = words.next().unwrap_or_default();
        }
        for line in lines {
            if let Some((name, value)) = line.split_once(':') {
                message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
        Ok(Some(message))
    }

    async fn take(&mut self, bytes: usize) -> io::Result<Option<Vec<u8>>> {
        while self.buffer.len() < bytes {
            if !self.fill().await? {
                return Ok(None);
            }
        }
        Ok(Some(self.buffer.drain(..bytes).collect()))
    }

    async fn read_line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(at) = self.buffer.windows(2).position(|it| it == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..at + 2).collect();
                return Ok(Some(String::from_utf8_lossy(&line[..at]).into_owned()));
            }
            if !self.fill().await? {
                return Ok(None);
            }
        }
    }

    /// Reads a body that is sent in chunks; returns whether it was complete.
    pub async fn read_chunks(&mut self, message: &mut Message) -> io::Result<bool> {
        loop {
            let Some(line) = self.read_line().await? else { return Ok(false) };
            let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16);
            let size = size.map_err(io::Error::other)?;
            if size == 0 {
                while let Some(line) = self.read_line().await? {
                    if line.is_empty() {
                        return Ok(true);
                    }
                }
                return Ok(false);
            }
            let Some(chunk) = self.take(size + 2).await? else { return Ok(false) };
            message.body.extend_from_slice(&chunk[..size]);
        }
    }

    /// Reads a request; none if the connection ends before one.
    pub async fn read_request(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.read_head().await? else { return Ok(None) };
        if message.header("transfer-encoding").is_some() {
            message.is_complete = self.read_chunks(&mut message).await?;
        } else if let Some(length) = message.header("content-length") {
            let length = length.parse().map_err(io::Error::other)?;
            match self.take(length).await? {
                Some(body) => message.body = body,
                None => message.is_complete = false,
            }
        }
        Ok(Some(message))
    }

    /// Reads a response; `is_complete` is false if its body was cut.
    pub async fn read_response(&mut self) -> io::Result<Message> {
        let ended = || io::Error::new(io::ErrorKind::UnexpectedEof, "closed without an answer");
        let mut message = self.read_head().await?.ok_or_else(ended)?;
        if message.header("transfer-encoding").is_some() {
            message.is_complete = self.read_chunks(&mut message).await.unwrap_or(false);
        } else if let Some(length) = message.header("content-length") {
            let length: usize = length.parse().map_err(io::Error::other)?;
            match self.take(length).await {
                Ok(Some(body)) => message.body = body,
                _ => message.is_complete = false,
            }
        }
        Ok(message)
    }

    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }
}

/// Builds a complete response.
pub fn response(status: u16, headers: &[(&str, &str)], body: &str) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    text.push_str(body);
    text.into_bytes()
}

/// Builds a complete request.
pub fn request(method: &str, target: &str, headers: &[(&str, &str)], body: &str) -> Vec<u8> {
    let mut text = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if method != "GET" || !body.is_empty() {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    text.push_str(body);
    text.into_bytes()
}
