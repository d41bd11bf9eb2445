use tokio::io::{AsyncReadExt, AsyncWriteExt};

use super::*;

/// RECOVER: a panic while a connection was set up ended the loop, and closed the listener with it.
#[tokio::test]
async fn a_panic_of_the_handler_costs_one_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let stop = CancellationToken::new();
    let loop_stop = stop.clone();
    let accepting = tokio::spawn(async move {
        let mut connections = 0;
        accept(&listener, &loop_stop, |mut stream| {
            connections += 1;
            assert!(connections != 1, "expected by the test");
            tokio::spawn(async move { stream.write_all(b"served").await });
        })
        .await;
    });
    let mut received = Vec::new();
    let mut first = TcpStream::connect(address).await.unwrap();
    first.read_to_end(&mut received).await.unwrap();
    assert!(received.is_empty());
    let mut second = TcpStream::connect(address).await.unwrap();
    second.read_to_end(&mut received).await.unwrap();
    assert_eq!(received, b"served");
    stop.cancel();
    accepting.await.unwrap();
}
