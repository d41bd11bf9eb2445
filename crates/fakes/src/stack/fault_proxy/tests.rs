use super::*;

/// Opens a link to a server that sends back what it receives.
async fn echo() -> FaultProxy {
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

/// Sends a byte and returns the one that comes back within the limit.
async fn exchange(stream: &mut TcpStream, limit_ms: u64) -> Option<io::Result<u8>> {
    let exchange = async {
        stream.write_all(b"x").await?;
        stream.read_u8().await
    };
    tokio::time::timeout(Duration::from_millis(limit_ms), exchange).await.ok()
}

#[tokio::test]
async fn an_open_link_passes_bytes_both_ways() {
    let proxy = echo().await;
    let mut stream = TcpStream::connect(proxy.address()).await.unwrap();
    assert_eq!(exchange(&mut stream, 5_000).await.unwrap().unwrap(), b'x');
}

#[tokio::test]
async fn a_link_that_loses_bytes_stays_open_and_is_reset_afterwards() {
    for state in [ProxyState::Stalled, ProxyState::DropToTarget, ProxyState::DropFromTarget] {
        let proxy = echo().await;
        let mut stream = TcpStream::connect(proxy.address()).await.unwrap();
        assert!(exchange(&mut stream, 5_000).await.unwrap().is_ok());
        proxy.set_state(state);
        assert!(exchange(&mut stream, 100).await.is_none(), "{state:?} passes nothing back");
        proxy.set_state(ProxyState::Forwarding);
        assert!(stream.read_u8().await.is_err(), "bytes were lost on this connection");
        let mut stream = TcpStream::connect(proxy.address()).await.unwrap();
        assert!(exchange(&mut stream, 5_000).await.unwrap().is_ok());
    }
}

#[tokio::test]
async fn a_reset_ends_open_and_new_connections() {
    let proxy = echo().await;
    let mut stream = TcpStream::connect(proxy.address()).await.unwrap();
    assert!(exchange(&mut stream, 5_000).await.unwrap().is_ok());
    proxy.set_state(ProxyState::Reset);
    assert!(stream.read_u8().await.is_err());
    let mut late = TcpStream::connect(proxy.address()).await.unwrap();
    assert!(late.read_u8().await.is_err());
}

#[tokio::test]
async fn a_delay_holds_bytes_for_its_time() {
    let proxy = echo().await;
    proxy.set_state(ProxyState::Delayed(60));
    let mut stream = TcpStream::connect(proxy.address()).await.unwrap();
    let begun = std::time::Instant::now();
    assert!(exchange(&mut stream, 5_000).await.unwrap().is_ok());
    assert!(begun.elapsed() >= Duration::from_millis(120), "60 ms each way");
}

#[tokio::test]
async fn a_cut_closes_what_is_open_and_lets_new_connections_pass() {
    let proxy = echo().await;
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
