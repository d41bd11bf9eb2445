use std::{
    convert::Infallible,
    sync::{Arc, atomic::AtomicU64},
};

use http_body_util::StreamBody;
use hyper::{
    Response, Version,
    body::{Frame, Incoming},
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    sync::watch,
};
use yuccatrail_core::ids::{AttemptId, Incarnation, RequestId, StageIndex};

use super::*;

/// Engine that can be restarted without a change of its address.
struct Engine {
    address: SocketAddr,
    boot_id: Arc<AtomicU64>,
    calls: Arc<AtomicUsize>,
    restarts: watch::Sender<u64>,
}

impl Engine {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let engine = Self {
            address,
            boot_id: Arc::new(AtomicU64::new(1)),
            calls: Arc::new(AtomicUsize::new(0)),
            restarts: watch::Sender::new(0),
        };
        let (current_boot, calls) = (engine.boot_id.clone(), engine.calls.clone());
        let restarts = engine.restarts.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (current_boot, calls) = (current_boot.clone(), calls.clone());
                let mut restarted = restarts.subscribe();
                tokio::spawn(async move {
                    let service = service_fn(move |request: Request<Incoming>| {
                        let is_health = request.uri().path() == "/health";
                        if !is_health {
                            calls.fetch_add(1, Ordering::SeqCst);
                        }
                        let boot_id = current_boot.load(Ordering::SeqCst).to_string();
                        let body = serde_json::json!({ "boot_id": boot_id, "warm": true });
                        let body = Full::new(Bytes::from(body.to_string()));
                        async move { Ok::<_, Infallible>(Response::new(body)) }
                    });
                    let connection = hyper::server::conn::http1::Builder::new()
                        .serve_connection(TokioIo::new(stream), service);
                    tokio::select! {
                        _ = connection => {}
                        _ = restarted.changed() => {}
                    }
                });
            }
        });
        engine
    }

    fn restart(&self) {
        self.boot_id.fetch_add(1, Ordering::SeqCst);
        self.restarts.send_modify(|it| *it += 1);
    }

    fn calls(&self) -> usize {
        self.calls.load(Ordering::SeqCst)
    }
}

async fn call(client: &BootClient) -> Result<ResponseHead, CallError> {
    let attempt =
        AttemptId { request: RequestId(7), stage: StageIndex(0), number: 0, entry: Incarnation(1) };
    client.call(attempt, plain_call(), |_| {}, |_| {}).await
}

fn plain_call() -> UpstreamCall {
    UpstreamCall {
        method: "POST".to_owned(),
        path: "/v1/search".to_owned(),
        content_type: None,
        idempotency_key: None,
        body: Bytes::new(),
        response: ResponseForm::Whole,
    }
}

/// Probes until the engine answers, and sets the boot that answered.
async fn probe_until_answered(client: &UpstreamClient) {
    loop {
        // The first probe after a restart may use a pooled connection that the restart has broken.
        if let ProbeResult::Answered { boot_id: Some(boot_id), .. } = client.probe().await.result {
            client.set_boot_id(boot_id);
            return;
        }
    }
}

#[tokio::test]
async fn client_taken_before_a_restart_does_not_reach_the_new_boot() {
    let engine = Engine::start().await;
    let client = UpstreamClient::new(engine.address);
    probe_until_answered(&client).await;
    let (used, unused) = (client.current_boot(), client.current_boot());
    call(&used).await.expect("the probed boot accepts calls");
    engine.restart();
    // The client may not have detected yet that the connection of the first call is broken.
    call(&used).await.expect_err("no call reaches the new boot");
    assert_eq!(call(&used).await, Err(CallError::NotConnected));
    probe_until_answered(&client).await;
    assert_eq!(call(&unused).await, Err(CallError::NotConnected));
    assert_eq!(engine.calls(), 1);
    call(&client.current_boot()).await.expect("the new boot accepts calls after a probe");
    assert_eq!(engine.calls(), 2);
}

#[tokio::test]
async fn call_before_the_first_probe_reaches_any_boot() {
    let engine = Engine::start().await;
    let client = UpstreamClient::new(engine.address);
    call(&client.current_boot()).await.expect("any boot accepts calls while none is known");
    assert_eq!(engine.calls(), 1);
}

/// Engine whose plain responses have neither a length nor chunks; it ends after the first one, in the
/// middle of it if `crashes` is set.
async fn start_unframed_engine(crashes: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let crashed = tokio_util::sync::CancellationToken::new();
        while let Some(Ok((stream, _))) = crashed.run_until_cancelled(listener.accept()).await {
            let crashed = crashed.clone();
            let service = service_fn(move |request: Request<Incoming>| {
                let is_health = request.uri().path() == "/health";
                let text = if is_health { r#"{"boot_id":"1"}"# } else { "the first half" };
                // A body of unknown length has no chunks in HTTP/1.0.
                let frame = Ok::<_, Infallible>(Frame::data(Bytes::from(text)));
                let mut response = Response::new(StreamBody::new(futures::stream::iter([frame])));
                if !is_health {
                    *response.version_mut() = Version::HTTP_10;
                    if crashes {
                        crashed.cancel();
                    }
                }
                async move { Ok::<_, Infallible>(response) }
            });
            tokio::spawn(
                hyper::server::conn::http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service),
            );
        }
    });
    address
}

#[tokio::test]
async fn an_unframed_response_of_an_engine_that_crashed_is_lost() {
    for crashes in [false, true] {
        let address = start_unframed_engine(crashes).await;
        let client = UpstreamClient::new(address);
        probe_until_answered(&client).await;
        let result = call(&client.current_boot()).await;
        assert_eq!(result.is_ok(), !crashes, "{result:?}");
    }
}

/// Engine that sends a part of a response without a length before it has read the request, closes its side
/// and resets the connection.
async fn start_engine_that_breaks_off() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut request = [0; 4096];
                loop {
                    let bytes = stream.read(&mut request).await.unwrap();
                    if !request[..bytes].starts_with(b"GET /health") {
                        break;
                    }
                    let health = "HTTP/1.1 200 OK\r\ncontent-length: 15\r\n\r\n{\"boot_id\":\"1\"}";
                    stream.write_all(health.as_bytes()).await.unwrap();
                }
                stream.write_all(b"HTTP/1.1 200 OK\r\n\r\na part").await.unwrap();
                stream.shutdown().await.unwrap();
                tokio::time::sleep(Duration::from_millis(50)).await;
                socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
            });
        }
    });
    address
}

/// Guards against MIXED: the end of the connection after a part made that part a complete response, although
/// a reset followed, whether the request had been read or not.
#[tokio::test]
async fn a_part_of_a_response_before_a_reset_is_lost() {
    let client = UpstreamClient::new(start_engine_that_breaks_off().await);
    let attempt =
        AttemptId { request: RequestId(7), stage: StageIndex(0), number: 0, entry: Incarnation(1) };
    for body_bytes in [4 << 20, 15_000, 1_000] {
        let call = UpstreamCall { body: vec![b'u'; body_bytes].into(), ..plain_call() };
        let result = client.current_boot().call(attempt, call, |_| {}, |_| {}).await;
        assert_eq!(result, Err(CallError::Lost), "{body_bytes} bytes");
    }
}

/// Engine whose responses have a status, but for those of its health endpoint.
async fn start_engine_with_status(status: u16) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let service = service_fn(move |request: Request<Incoming>| async move {
                let body = Full::new(Bytes::from_static(br#"{"boot_id":"1"}"#));
                let mut response = Response::new(body);
                if request.uri().path() != "/health" {
                    *response.status_mut() = hyper::StatusCode::from_u16(status).unwrap();
                }
                Ok::<_, Infallible>(response)
            });
            tokio::spawn(
                hyper::server::conn::http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service),
            );
        }
    });
    address
}

/// Guards against MIXED: such a response counted as the engine's answer.
#[tokio::test]
async fn a_response_whose_status_nobody_asked_for_is_lost() {
    for (status, is_answer) in [(206, false), (304, false), (600, false), (999, false), (299, true)]
    {
        let client = UpstreamClient::new(start_engine_with_status(status).await);
        let result = call(&client.current_boot()).await;
        assert_eq!(result.is_ok(), is_answer, "{status}: {result:?}");
        assert!(is_answer || result == Err(CallError::Lost), "{status}: {result:?}");
    }
}

/// Engine whose responses never end, but for those of its health endpoint.
async fn start_endless_engine() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let service = service_fn(move |request: Request<Incoming>| async move {
                let is_whole = request.uri().path() == "/health" && request.method() == "GET";
                let start =
                    Bytes::from_static(if is_whole { br#"{"boot_id":"1"}"# } else { b"data: a" });
                let block = Bytes::from(vec![b'a'; 64 * 1024]);
                let blocks =
                    futures::stream::repeat(block).take(if is_whole { 0 } else { 1 << 20 });
                let frames = futures::stream::once(async { start }).chain(blocks);
                let frames = frames.map(|it| Ok::<_, Infallible>(Frame::data(it)));
                Ok::<_, Infallible>(Response::new(StreamBody::new(Box::pin(frames))))
            });
            tokio::spawn(
                hyper::server::conn::http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service),
            );
        }
    });
    address
}

#[tokio::test]
async fn endless_responses_are_cut_off() {
    let client = UpstreamClient::new(start_endless_engine().await);
    probe_until_answered(&client).await;
    let boot = client.current_boot();
    let plain = tokio::time::timeout(Duration::from_secs(10), call(&boot));
    assert_eq!(plain.await.expect("cut off"), Err(CallError::Lost));
    let attempt =
        AttemptId { request: RequestId(8), stage: StageIndex(0), number: 0, entry: Incarnation(1) };
    let events = UpstreamCall {
        method: "POST".to_owned(),
        path: "/v1/completions".to_owned(),
        content_type: None,
        idempotency_key: None,
        body: Bytes::new(),
        response: ResponseForm::Events,
    };
    let streamed =
        tokio::time::timeout(Duration::from_secs(10), boot.call(attempt, events, |_| {}, |_| {}));
    assert_eq!(streamed.await.expect("cut off"), Err(CallError::Lost));
}
