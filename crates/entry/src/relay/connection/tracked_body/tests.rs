//! Unit tests of bodies that end early.

use std::convert::Infallible;

use http_body_util::{BodyExt, StreamBody};
use hyper::{Response, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};
use yuccatrail_runtime::{clock::Clock, open_connections::OpenConnections};

use super::*;

/// Responds to one request with a body of these parts and a failure, all of which are there at once; returns
/// what the caller receives.
async fn received(parts: &'static [&'static str]) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut caller = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let (stream, _) = listener.accept().await.unwrap();
    let open = OpenConnections::new(1, Clock::new()).open(|| false).unwrap();
    let activity = Arc::new(Activity::new(open));
    let io = TokioIo::new(activity.watch(stream));
    let service = service_fn(move |_| {
        let parts = parts.iter().map(|it| Ok(Frame::data(Bytes::from_static(it.as_bytes()))));
        let frames = futures::stream::iter(parts.chain([Err(ResponseAborted)]));
        let body = StreamBody::new(frames).boxed_unsync();
        let response = Response::new(TrackedBody::new(body, activity.clone()));
        async move { Ok::<_, Infallible>(response) }
    });
    let serving = tokio::spawn(http1::Builder::new().serve_connection(io, service));
    caller.write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n").await.unwrap();
    let mut bytes = Vec::new();
    caller.read_to_end(&mut bytes).await.unwrap();
    assert!(serving.await.unwrap().is_err(), "hyper aborts the connection");
    String::from_utf8(bytes).unwrap()
}

/// Guards against LOST: hyper drops what it has not written yet when a body fails, the head included.
#[tokio::test]
async fn what_came_before_the_failure_is_written() {
    let received = received(&["id: 1\n\n"]).await;
    assert!(received.starts_with("HTTP/1.1 200 OK\r\n"), "{received}");
    assert!(received.ends_with("\r\n\r\n7\r\nid: 1\n\n\r\n"), "no last chunk: {received}");
}

#[tokio::test]
async fn the_head_of_a_body_that_fails_at_once_is_written() {
    let received = received(&[]).await;
    assert!(received.starts_with("HTTP/1.1 200 OK\r\n"), "{received}");
    assert!(received.ends_with("\r\n\r\n"), "no last chunk: {received}");
}
