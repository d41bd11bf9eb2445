//! The counting proxy counts the bytes and packets that pass through it.

use std::io;

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};
use yuccatrail_fakes::capacity::proxy::{CountingProxy, PACKET_HEADER_BYTES, Traffic};

#[tokio::test]
async fn bytes_of_both_directions_are_counted() -> io::Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let proxy = CountingProxy::open(listener.local_addr()?).await?;
    let mut client = TcpStream::connect(proxy.address).await?;
    let (mut server, _) = listener.accept().await?;
    let mut buffer = [0; 5];
    client.write_all(b"hello").await?;
    server.read_exact(&mut buffer).await?;
    server.write_all(b"yes").await?;
    client.read_exact(&mut buffer[..3]).await?;
    let traffic = proxy.traffic();
    assert_eq!((traffic.inbound_bytes, traffic.outbound_bytes), (5, 3));
    proxy.close();
    Ok(())
}

#[test]
fn wire_bytes_include_a_header_for_each_packet() {
    let traffic = Traffic {
        inbound_bytes: 100,
        outbound_bytes: 3_000,
        inbound_messages: 1,
        outbound_messages: 1,
    };
    // One packet with the request, three with the response and one with its acknowledgement.
    assert_eq!(traffic.wire_bytes(), 3_100 + 5 * PACKET_HEADER_BYTES);
}
