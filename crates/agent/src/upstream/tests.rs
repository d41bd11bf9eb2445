use std::{
    convert::Infallible,
    sync::{
        Arc,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
};

use hyper::{Response, body::Incoming, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpListener, sync::watch};
use yuccatrail_core::ids::{AttemptId, Incarnation, RequestId, StageIndex};

use super::*;

/// An engine that can be restarted in place.
struct Engine {
    address: SocketAddr,
    boot: Arc<AtomicU64>,
    calls: Arc<AtomicUsize>,
    restarts: watch::Sender<u64>,
}

impl Engine {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let engine = Self {
            address,
            boot: Arc::new(AtomicU64::new(1)),
            calls: Arc::new(AtomicUsize::new(0)),
            restarts: watch::Sender::new(0),
        };
        let (boot, calls) = (engine.boot.clone(), engine.calls.clone());
        let restarts = engine.restarts.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (boot, calls) = (boot.clone(), calls.clone());
                let mut restarted = restarts.subscribe();
                tokio::spawn(async move {
                    let service = service_fn(move |request: Request<Incoming>| {
                        let is_health = request.uri().path() == "/health";
                        if !is_health {
                            calls.fetch_add(1, Ordering::SeqCst);
                        }
                        let boot_id = boot.load(Ordering::SeqCst).to_string();
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
        self.boot.fetch_add(1, Ordering::SeqCst);
        self.restarts.send_modify(|it| *it += 1);
    }

    fn calls(&self) -> usize {
        self.calls.load(Ordering::SeqCst)
    }
}

async fn call(client: &RunClient) -> Result<AnswerHead, CallError> {
    let attempt =
        AttemptId { request: RequestId(7), stage: StageIndex(0), number: 0, entry: Incarnation(1) };
    let call = UpstreamCall {
        method: "POST".to_owned(),
        path: "/v1/search".to_owned(),
        content_type: None,
        idempotency_key: None,
        body: Bytes::new(),
        response: ResponseForm::Whole,
    };
    client.call(attempt, call, |_| {}).await
}

/// Probes until an answer comes and notes the run that gave it.
async fn probe(client: &UpstreamClient) {
    loop {
        // The first probe after a restart may find the connection that the restart broke.
        if let ProbeResult::Answered { boot_id: Some(run), .. } = client.probe().await {
            client.set_run(run);
            return;
        }
    }
}

#[tokio::test]
async fn a_call_that_was_decided_on_before_a_restart_does_not_reach_the_new_run() {
    let engine = Engine::start().await;
    let client = UpstreamClient::new(engine.address);
    probe(&client).await;
    let (decided, unused) = (client.current_run(), client.current_run());
    call(&decided).await.expect("the run that was probed takes calls");
    engine.restart();
    // The connection of the first call may not be known to be broken yet.
    call(&decided).await.expect_err("no call gets to the new run");
    assert_eq!(call(&decided).await, Err(CallError::NotConnected));
    probe(&client).await;
    assert_eq!(call(&unused).await, Err(CallError::NotConnected));
    assert_eq!(engine.calls(), 1);
    call(&client.current_run()).await.expect("the new run takes calls once it was probed");
    assert_eq!(engine.calls(), 2);
}

#[tokio::test]
async fn a_call_before_the_first_probe_goes_to_whichever_run_there_is() {
    let engine = Engine::start().await;
    let client = UpstreamClient::new(engine.address);
    call(&client.current_run()).await.expect("no run is known, so any will do");
    assert_eq!(engine.calls(), 1);
}
