use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

use super::*;

/// Delay of a reset that comes while it is awaited.
const SOON: Duration = Duration::from_millis(50);
/// Delay of a reset that comes later than it is awaited.
const LATER: Duration = Duration::from_millis(400);
/// Time for which a reset is awaited.
const LIMIT: Duration = Duration::from_millis(200);
/// Time for which a reset would be awaited if it were not noticed at once, and what that takes at the most.
const LONG_LIMIT: Duration = Duration::from_secs(20);
const AT_ONCE: Duration = Duration::from_secs(10);
/// Time after which an end that has not been reported was not believed.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// What a server does after its response.
#[derive(Clone, Copy, Debug)]
enum AfterResponse {
    /// Closes its side, and resets the connection after a while.
    Reset(Duration),
    /// Closes its side and the socket, with bytes of the request unread.
    CloseUnread,
    /// Reads the request to its end.
    Read,
}

/// Result of one exchange.
struct Exchange {
    is_end_believed: bool,
    took: Duration,
}

/// Sends a request to a server that responds at once and closes its side, and waits for a reset, unless the
/// response marks its end itself.
async fn exchange(
    request_bytes: usize,
    then: AfterResponse,
    is_marked: bool,
    limit: Duration,
) -> Exchange {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        stream.readable().await.unwrap();
        stream.write_all(b"a part").await.unwrap();
        stream.shutdown().await.unwrap();
        match then {
            AfterResponse::CloseUnread => {}
            AfterResponse::Reset(delay) => {
                tokio::time::sleep(delay).await;
                SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
            }
            AfterResponse::Read => {
                stream.read_to_end(&mut Vec::new()).await.unwrap();
            }
        }
    });
    let started = Instant::now();
    let stream = EndCheckedStream::new(TcpStream::connect(address).await.unwrap());
    let end = stream.response_end();
    let (mut reader, mut writer) = tokio::io::split(stream);
    let writing = async {
        writer.write_all(&vec![b'u'; request_bytes]).await?;
        writer.flush().await
    };
    let mut response = Vec::new();
    let reading = tokio::time::timeout(READ_TIMEOUT, reader.read_to_end(&mut response));
    // The request fails too if it was still being written.
    let (_, read) = tokio::join!(writing, reading);
    if is_marked {
        end.set_marked();
    }
    // As hyper does with a connection that has ended.
    drop((reader, writer));
    let is_end_believed = matches!(read, Ok(Ok(_))) && end.confirm(limit).await.is_ok();
    let took = started.elapsed();
    server.await.unwrap();
    Exchange { is_end_believed, took }
}

/// Guards against MIXED: the closed side of a server that reset the connection then was the end of a
/// response to any request that the system had taken over at once.
#[tokio::test]
async fn a_reset_at_once_is_noticed_at_once_whatever_the_size_of_the_request() {
    for request_bytes in [1, 1_000, 15_000, 32 * 1024] {
        for then in [AfterResponse::CloseUnread, AfterResponse::Reset(Duration::ZERO)] {
            let result = exchange(request_bytes, then, false, LONG_LIMIT).await;
            assert!(!result.is_end_believed, "{request_bytes} bytes, {then:?}");
            assert!(result.took < AT_ONCE, "{request_bytes} bytes, {then:?}: {:?}", result.took);
        }
    }
}

#[tokio::test]
async fn a_reset_shortly_after_the_request_was_written_is_noticed() {
    for request_bytes in [1_000, 32 * 1024] {
        let result = exchange(request_bytes, AfterResponse::Reset(SOON), false, LIMIT).await;
        assert!(!result.is_end_believed, "{request_bytes} bytes");
    }
}

/// The system would take over the whole request without having sent it.
#[tokio::test]
async fn a_later_reset_is_noticed_while_the_request_is_unsent() {
    let reset = AfterResponse::Reset(LATER);
    assert!(!exchange(1024 * 1024, reset, false, LIMIT).await.is_end_believed);
}

#[tokio::test]
async fn an_end_without_a_reset_is_believed_after_the_whole_limit() {
    for request_bytes in [1_000, 1024 * 1024] {
        let result = exchange(request_bytes, AfterResponse::Read, false, LIMIT).await;
        assert!(result.is_end_believed && result.took >= LIMIT, "{:?}", result.took);
    }
}

#[tokio::test]
async fn the_end_of_a_response_that_marks_it_is_believed_at_once() {
    let result = exchange(1_000, AfterResponse::Read, true, LONG_LIMIT).await;
    assert!(result.is_end_believed && result.took < AT_ONCE, "{:?}", result.took);
}
