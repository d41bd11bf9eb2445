//! Minimal HTTP/1.1 over sockets, so that a stand-in decides on every byte it sends.

use std::io;

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// A request or response with its whole body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    /// Header names in lower case, with their values.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the end of the body was marked, by a length or the last chunk.
    pub is_complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|it| it.0 == name).map(|it| it.1.as_str())
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }
}

/// A connection with the bytes that were read ahead.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    async fn fill(&mut self) -> io::Result<usize> {
        self.stream.read_buf(&mut self.buffer).await
    }

    /// Reads the head of a message; none if the peer has closed the connection before.
    pub async fn read_head(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                break end;
            }
            if self.fill().await? == 0 {
                return if self.buffer.is_empty() {
                    Ok(None)
                } else {
                    Err(io::ErrorKind::UnexpectedEof.into())
                };
            }
        };
        let head: Vec<u8> = self.buffer.drain(..end + 4).collect();
        let text = String::from_utf8_lossy(&head[..end]).into_owned();
        let mut lines = text.split("\r\n");
        let start = lines.next().unwrap_or("").to_owned();
        let headers = lines.filter_map(|it| it.split_once(':'));
        let headers =
            headers.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()));
        Ok(Some(Message { start, headers: headers.collect(), ..Message::default() }))
    }

    /// Reads a message with its body; what arrives of an incomplete body is kept.
    pub async fn read(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.read_head().await? else { return Ok(None) };
        self.read_body(&mut message).await;
        Ok(Some(message))
    }

    pub async fn read_body(&mut self, message: &mut Message) {
        let is_response = message.start.starts_with("HTTP/");
        let is_chunked = message.header("transfer-encoding").is_some_and(|it| it.contains("chunked"));
        if is_chunked {
            message.is_complete = self.read_chunks(&mut message.body).await.is_ok();
            return;
        }
        let length = message.header("content-length").and_then(|it| it.parse::<usize>().ok());
        let length = match length {
            Some(length) => length,
            None if is_response => usize::MAX,
            None => 0,
        };
        while self.buffer.len() < length {
            match self.fill().await {
                Ok(0) | Err(_) => break,
                Ok(_) => {}
            }
        }
        let taken = self.buffer.len().min(length);
        message.body = self.buffer.drain(..taken).collect();
        message.is_complete = taken == length;
    }

    async fn read_chunks(&mut self, body: &mut Vec<u8>) -> io::Result<()> {
        loop {
            let end = loop {
                if let Some(end) = find(&self.buffer, b"\r\n") {
                    break end;
                }
                if self.fill().await? == 0 {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            };
            let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
            let text = String::from_utf8_lossy(&line[..end]).into_owned();
            let size = usize::from_str_radix(text.split(';').next().unwrap_or("").trim(), 16)
                .map_err(io::Error::other)?;
            while self.buffer.len() < size + 2 {
                if self.fill().await? == 0 {
                    body.append(&mut self.buffer);
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            }
            body.extend(self.buffer.drain(..size));
            self.buffer.drain(..2);
            if size == 0 {
                return Ok(());
            }
        }
    }

    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await?;
        self.stream.flush().await
    }
}

/// Encodes a message with a length.
pub fn encode(start: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{start}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

pub fn find(bytes: &[u8], text: &[u8]) -> Option<usize> {
    bytes.windows(text.len()).position(|it| it == text)
}
