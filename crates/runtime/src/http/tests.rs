use hyper::{
    HeaderMap, StatusCode,
    header::{CONNECTION, CONTENT_LENGTH, HeaderName, HeaderValue, TRANSFER_ENCODING},
};

use super::BodyFraming;

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
