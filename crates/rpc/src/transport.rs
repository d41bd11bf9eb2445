//! tarpc transport that carries CBOR messages in binary WebSocket frames.

use std::{io, net::SocketAddr};

use derive_more::{Display, Error, From};
use futures::{Sink, SinkExt, Stream, StreamExt, future};
use serde::{Serialize, de::DeserializeOwned};
use tokio::net::TcpStream;
use tokio_tungstenite::{
    WebSocketStream,
    tungstenite::{self, Message},
};

/// Largest message in bytes; it covers a whole environment document and a whole request body.
pub const MAX_MESSAGE_BYTES: usize = 8 * 1024 * 1024;

/// Why a transport failed.
#[derive(Debug, Display, Error, From)]
pub enum TransportError {
    /// The connection could not be opened.
    #[display("cannot connect: {_0}")]
    Connect(io::Error),
    /// The connection was not opened in time.
    #[display("connecting timed out")]
    TimedOut,
    /// The WebSocket layer failed.
    #[display("WebSocket: {_0}")]
    WebSocket(tungstenite::Error),
    /// A message could not be encoded.
    #[display("cannot encode message: {_0}")]
    Encode(ciborium::ser::Error<io::Error>),
    /// A message could not be decoded.
    #[display("cannot decode message: {_0}")]
    Decode(ciborium::de::Error<io::Error>),
}

/// Opens a client connection to `address`.
///
/// # Errors
///
/// Returns an error when the TCP connection or the WebSocket handshake fails.
pub async fn connect<Out, In>(
    address: SocketAddr,
) -> Result<
    impl Stream<Item = Result<In, TransportError>> + Sink<Out, Error = TransportError>,
    TransportError,
>
where
    Out: Serialize,
    In: DeserializeOwned,
{
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let url = format!("ws://{address}/");
    let (socket, _) =
        tokio_tungstenite::client_async_with_config(url, stream, Some(config())).await?;
    Ok(typed(socket))
}

/// Completes the server side of the handshake on an accepted connection.
///
/// # Errors
///
/// Returns an error when the WebSocket handshake fails.
pub async fn accept<Out, In>(
    stream: TcpStream,
) -> Result<
    impl Stream<Item = Result<In, TransportError>> + Sink<Out, Error = TransportError>,
    TransportError,
>
where
    Out: Serialize,
    In: DeserializeOwned,
{
    stream.set_nodelay(true)?;
    let socket = tokio_tungstenite::accept_async_with_config(stream, Some(config())).await?;
    Ok(typed(socket))
}

fn config() -> tungstenite::protocol::WebSocketConfig {
    tungstenite::protocol::WebSocketConfig::default()
        .max_message_size(Some(MAX_MESSAGE_BYTES))
        .max_frame_size(Some(MAX_MESSAGE_BYTES))
}

fn typed<Out, In>(
    socket: WebSocketStream<TcpStream>,
) -> impl Stream<Item = Result<In, TransportError>> + Sink<Out, Error = TransportError>
where
    Out: Serialize,
    In: DeserializeOwned,
{
    socket
        .filter_map(|message| future::ready(decode(message)))
        .with(|message| future::ready(encode(&message)))
}

fn decode<In: DeserializeOwned>(
    message: Result<Message, tungstenite::Error>,
) -> Option<Result<In, TransportError>> {
    match message {
        Ok(Message::Binary(bytes)) => {
            Some(ciborium::from_reader(bytes.as_ref()).map_err(Into::into))
        }
        Ok(_) => None,
        Err(error) => Some(Err(error.into())),
    }
}

fn encode<Out: Serialize>(message: &Out) -> Result<Message, TransportError> {
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes)?;
    Ok(Message::binary(bytes))
}
