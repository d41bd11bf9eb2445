//! tarpc transport that encodes each message as CBOR in a binary WebSocket message.

use std::{io, net::SocketAddr};

use derive_more::{Display, Error, From};
use futures::{Sink, SinkExt, Stream, StreamExt, future};
use serde::{Serialize, de::DeserializeOwned};
use tokio::net::TcpStream;
use tokio_tungstenite::{
    WebSocketStream,
    tungstenite::{self, Message},
};

/// Largest message, in bytes; an environment document or a request body has to fit in one message.
pub const MAX_MESSAGE_BYTES: usize = 8 * 1024 * 1024;

/// Error of a transport.
#[derive(Debug, Display, Error, From)]
pub enum TransportError {
    /// The TCP connection could not be opened.
    #[display("cannot connect: {_0}")]
    Connect(io::Error),
    /// The connection attempt timed out.
    #[display("connecting timed out")]
    TimedOut,
    /// The WebSocket handshake or connection failed.
    #[display("WebSocket: {_0}")]
    WebSocket(tungstenite::Error),
    /// A message could not be encoded.
    #[display("cannot encode message: {_0}")]
    Encode(ciborium::ser::Error<io::Error>),
    /// A message could not be decoded.
    #[display("cannot decode message: {_0}")]
    Decode(ciborium::de::Error<io::Error>),
}

/// Opens a connection to `address` and performs the client side of the WebSocket handshake.
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
        tokio_tungstenite::client_async_with_config(url, stream, Some(websocket_config())).await?;
    Ok(into_transport(socket))
}

/// Performs the server side of the WebSocket handshake on an accepted connection.
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
    let socket =
        tokio_tungstenite::accept_async_with_config(stream, Some(websocket_config())).await?;
    Ok(into_transport(socket))
}

fn websocket_config() -> tungstenite::protocol::WebSocketConfig {
    tungstenite::protocol::WebSocketConfig::default()
        .max_message_size(Some(MAX_MESSAGE_BYTES))
        .max_frame_size(Some(MAX_MESSAGE_BYTES))
}

fn into_transport<Out, In>(
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
