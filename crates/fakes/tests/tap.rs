//! The forwarding port counts the bytes and packets that pass through it.

use std::io;

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};
use yuccatrail_fakes::capacity::tap::{PACKET_HEADER_BYTES, Tap, Traffic};

#[tokio::test]
async fn bytes_of_both_directions_are_counted() -> io::Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let tap = Tap::open(listener.local_addr()?).await?;
    let mut client = TcpStream::connect(tap.address).await?;
    let (mut server, _) = listener.accept().await?;
    let mut buffer = [0; 5];
    client.write_all(b"hello").await?;
    server.read_exact(&mut buffer).await?;
    server.write_all(b"yes").await?;
    client.read_exact(&mut buffer[..3]).await?;
    let traffic = tap.traffic();
    assert_eq!((traffic.to_bytes, traffic.from_bytes), (5, 3));
    tap.close();
    Ok(())
}

#[test]
fn wire_bytes_include_a_header_for_each_packet() {
    let traffic = Traffic { to_bytes: 100, from_bytes: 3_000, to_messages: 1, from_messages: 1 };
    // One packet with the request, three with the response and one with its acknowledgement.
    assert_eq!(traffic.wire_bytes(), 3_100 + 5 * PACKET_HEADER_BYTES);
}
