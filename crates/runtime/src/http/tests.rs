use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    HeaderMap, Request, Response, StatusCode,
    body::Incoming,
    client::conn::http1,
    header::{CONNECTION, CONTENT_LENGTH, HeaderName, HeaderValue, TRANSFER_ENCODING, VIA},
};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use super::{BodyFraming, has_inner_status_line};

fn framing(status: u16, name: HeaderName, value: &'static str) -> BodyFraming {
    let headers = HeaderMap::from_iter([(name, HeaderValue::from_static(value))]);
    BodyFraming::of(StatusCode::from_u16(status).unwrap(), &headers)
}

#[test]
fn the_framing_of_a_response_is_taken_from_its_status_and_headers() {
    assert_eq!(framing(200, CONTENT_LENGTH, "3"), BodyFraming::Length);
    assert_eq!(framing(200, TRANSFER_ENCODING, "chunked"), BodyFraming::Chunks);
    assert_eq!(framing(204, CONNECTION, "close"), BodyFraming::Length);
    assert_eq!(framing(200, CONNECTION, "close"), BodyFraming::Close);
}

/// Returns the response that a client reads from the given bytes; none if they are no response.
async fn read_response(bytes: &[u8]) -> Option<Response<Incoming>> {
    let (client, mut server) = tokio::io::duplex(4_096);
    let (mut sender, connection) = http1::handshake(TokioIo::new(client)).await.unwrap();
    tokio::spawn(connection);
    let bytes = bytes.to_vec();
    tokio::spawn(async move {
        let mut request = [0; 1_024];
        assert!(server.read(&mut request).await.unwrap() > 0);
        server.write_all(&bytes).await.unwrap();
    });
    sender.send_request(Request::new(Full::<Bytes>::default())).await.ok()
}

/// TWICE and MIXED: the status of a part of an earlier response was taken for that of the next one, with the
/// headers of the next one.
#[tokio::test]
async fn a_head_that_joins_with_a_part_of_another_one_is_noticed_wherever_it_is_cut() {
    let rejection = "HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\nX-Call: earlier\r\n\
                     Content-Length: 0\r\n\r\n";
    let failure = rejection.replace("503 Service Unavailable", "500 Internal Server Error");
    let success = "HTTP/1.1 200 OK\r\nX-Call: own\r\nContent-Length: 0\r\n\r\n";
    let own = "HTTP/1.0 404 Not Found\r\nX-Call: own\r\nContent-Length: 0\r\n\r\n";
    let mut joined = 0;
    for earlier in [rejection, &failure, success] {
        for cut in 0..earlier.len() {
            let bytes = [&earlier.as_bytes()[..cut], own.as_bytes()].concat();
            let Some(response) = read_response(&bytes).await else { continue };
            if response.status() == 404 {
                assert!(cut == 0 && !has_inner_status_line(&response), "{earlier} cut at {cut}");
                continue;
            }
            assert!(has_inner_status_line(&response), "{earlier} cut at {cut}: {response:?}");
            joined += 1;
        }
    }
    assert!(joined > 50, "{joined}");
}

#[test]
fn a_protocol_version_in_a_header_is_no_status_line() {
    let mut response = Response::new(());
    response.headers_mut().insert(VIA, HeaderValue::from_static("HTTP/1.1 cache.example"));
    assert!(!has_inner_status_line(&response));
}
