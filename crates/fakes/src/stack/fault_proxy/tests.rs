use super::*;

/// Starts a proxy in front of a server that echoes what it receives.
async fn proxy_to_echo_server() -> FaultProxy {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut reader, mut writer) = stream.split();
                tokio::io::copy(&mut reader, &mut writer).await
            });
        }
    });
    FaultProxy::open(address).await.unwrap()
}

/// Sends a byte and returns the echoed one, or none if it does not arrive within the limit.
async fn exchange(stream: &mut TcpStream, limit_ms: u64) -> Option<io::Result<u8>> {
    let exchange = async {
        stream.write_all(b"x").await?;
        stream.read_u8().await
    };
    tokio::time::timeout(Duration::from_millis(limit_ms), exchange).await.ok()
}

#[tokio::test]
async fn forwarding_proxy_passes_bytes_in_both_directions() {
    let proxy = proxy_to_echo_server().await;
    let mut stream = TcpStream::connect(proxy.address()).await.unwrap();
    assert_eq!(exchange(&mut stream, 5_000).await.unwrap().unwrap(), b'x');
}

#[tokio::test]
async fn connection_that_loses_bytes_stays_open_and_is_reset_when_state_changes() {
    for state in [ProxyState::Stalled, ProxyState::DropToTarget, ProxyState::DropFromTarget] {
        let proxy = proxy_to_echo_server().await;
        let mut stream = TcpStream::connect(proxy.address()).await.unwrap();
        assert!(exchange(&mut stream, 5_000).await.unwrap().is_ok());
        proxy.set_state(state);
        assert!(
            exchange(&mut stream, 100).await.is_none(),
            "no byte comes back in state {state:?}"
        );
        proxy.set_state(ProxyState::Forwarding);
        assert!(stream.read_u8().await.is_err(), "a connection that lost bytes is reset");
        let mut stream = TcpStream::connect(proxy.address()).await.unwrap();
        assert!(exchange(&mut stream, 5_000).await.unwrap().is_ok());
    }
}

#[tokio::test]
async fn reset_ends_open_and_new_connections() {
    let proxy = proxy_to_echo_server().await;
    let mut stream = TcpStream::connect(proxy.address()).await.unwrap();
    assert!(exchange(&mut stream, 5_000).await.unwrap().is_ok());
    proxy.set_state(ProxyState::Reset);
    assert!(stream.read_u8().await.is_err());
    let mut new_stream = TcpStream::connect(proxy.address()).await.unwrap();
    assert!(new_stream.read_u8().await.is_err());
}

#[tokio::test]
async fn delay_applies_to_each_direction() {
    let proxy = proxy_to_echo_server().await;
    proxy.set_state(ProxyState::Delayed(60));
    let mut stream = TcpStream::connect(proxy.address()).await.unwrap();
    let started = std::time::Instant::now();
    assert!(exchange(&mut stream, 5_000).await.unwrap().is_ok());
    assert!(
        started.elapsed() >= Duration::from_millis(120),
        "the delay of 60 ms applies in each direction"
    );
}

#[tokio::test]
async fn close_connections_closes_open_connections_and_accepts_new_ones() {
    let proxy = proxy_to_echo_server().await;
    let mut stream = TcpStream::connect(proxy.address()).await.unwrap();
    assert!(exchange(&mut stream, 5_000).await.unwrap().is_ok());
    assert_eq!(proxy.open_connections(), 1);
    proxy.close_connections();
    assert!(stream.read_u8().await.is_err());
    let mut stream = TcpStream::connect(proxy.address()).await.unwrap();
    assert!(exchange(&mut stream, 5_000).await.unwrap().is_ok());
    assert_eq!(proxy.open_connections(), 1);
    let address = proxy.address();
    proxy.close();
    assert!(stream.read_u8().await.is_err());
    assert!(TcpStream::connect(address).await.is_err());
}

/// Opens a connection through a proxy on which the caller has received something; returns both ends.
async fn connect(proxy: &FaultProxy, listener: &TcpListener) -> (TcpStream, TcpStream) {
    let mut caller = TcpStream::connect(proxy.address()).await.unwrap();
    let (mut target, _) = listener.accept().await.unwrap();
    target.write_all(b"half").await.unwrap();
    caller.read_exact(&mut [0; 4]).await.unwrap();
    (caller, target)
}

#[tokio::test]
async fn a_reset_of_the_target_reaches_the_caller_as_a_reset() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let proxy = FaultProxy::open(listener.local_addr().unwrap()).await.unwrap();
    for _ in 0..20 {
        let (mut caller, target) = connect(&proxy, &listener).await;
        target.set_zero_linger().unwrap();
        drop(target);
        let end = caller.read_u8().await;
        assert_eq!(end.unwrap_err().kind(), io::ErrorKind::ConnectionReset);
    }
}

#[tokio::test]
async fn a_reset_of_the_target_after_its_end_reaches_the_caller() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let proxy = FaultProxy::open(listener.local_addr().unwrap()).await.unwrap();
    for _ in 0..20 {
        let (mut caller, mut target) = connect(&proxy, &listener).await;
        target.shutdown().await.unwrap();
        target.set_zero_linger().unwrap();
        drop(target);
        assert_eq!(caller.read(&mut [0; 4]).await.unwrap(), 0);
        caller.ready(Interest::ERROR).await.unwrap();
        assert!(caller.take_error().unwrap().is_some());
    }
}

#[tokio::test]
async fn throttled_proxy_takes_as_long_as_its_rate_states() {
    let proxy = proxy_to_echo_server().await;
    proxy.set_state(ProxyState::Throttled(1_000_000));
    let mut stream = TcpStream::connect(proxy.address()).await.unwrap();
    let begun = tokio::time::Instant::now();
    let (mut reader, mut writer) = stream.split();
    let sent = vec![0; 300_000];
    let mut received = vec![0; 300_000];
    let (written, read) = tokio::join!(writer.write_all(&sent), reader.read_exact(&mut received));
    written.unwrap();
    read.unwrap();
    assert!(begun.elapsed() >= Duration::from_millis(290), "{:?}", begun.elapsed());
}
