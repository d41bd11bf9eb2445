use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

use super::*;

/// Delay of a reset that comes while an end is held back.
const SOON: Duration = Duration::from_millis(50);
/// Delay of a reset that comes later than an end is held back for.
const LATER: Duration = Duration::from_millis(400);
/// Time after which an end that is still held back was not believed.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends a request to a server that reads nothing, responds, closes its side and resets the connection after
/// a while; tells whether the end of the response is believed.
async fn is_end_believed(request_bytes: usize, reset_after: Duration) -> bool {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        stream.readable().await.unwrap();
        stream.write_all(b"a part").await.unwrap();
        stream.shutdown().await.unwrap();
        tokio::time::sleep(reset_after).await;
        SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
    });
    let hold = Arc::new(EndHold::default());
    hold.begin(request_bytes as u64);
    let stream = EndCheckedStream::new(TcpStream::connect(address).await.unwrap(), hold);
    let (mut reader, mut writer) = tokio::io::split(stream);
    let writing = async {
        writer.write_all(&vec![b'u'; request_bytes]).await?;
        writer.flush().await
    };
    let mut response = Vec::new();
    let reading = tokio::time::timeout(READ_TIMEOUT, reader.read_to_end(&mut response));
    // The request fails too if it was still being written.
    let (_, read) = tokio::join!(writing, reading);
    server.await.unwrap();
    matches!(read, Ok(Ok(_)))
}

/// The buffer of the server holds the whole request.
#[tokio::test]
async fn a_reset_shortly_after_the_request_was_written_is_noticed() {
    assert!(!is_end_believed(32 * 1024, SOON).await);
}

/// The system would take over the whole request without having sent it.
#[tokio::test]
async fn a_later_reset_is_noticed_while_the_request_is_unsent() {
    assert!(!is_end_believed(1024 * 1024, LATER).await);
}

#[tokio::test]
async fn the_end_of_the_response_to_a_short_request_is_believed_at_once() {
    assert!(is_end_believed(1024, LATER).await);
}
