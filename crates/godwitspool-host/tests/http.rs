//! Decoding of HTTP/1.1: framing that arrives in pieces, and framing that is wrong.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use godwitspool_host::http::{
    BodyDecoder, Chunk, DecodeError, Headers, Request, Response, decode_request, decode_response,
};
use rstest::rstest;

fn headers(fields: &[(&str, &str)]) -> Headers {
    let fields = fields.iter();
    Headers(
        fields
            .map(|(name, value)| ((*name).to_owned(), (*value).to_owned()))
            .collect(),
    )
}

#[rstest]
fn a_chunked_body_is_the_same_in_whatever_pieces_it_arrives(#[values(1, 2, 3, 7, 64)] size: usize) {
    let bytes = b"5\r\nhello\r\n6;note=1\r\n world\r\n0\r\nTrailer: x\r\n\r\nnext";
    let mut decoder = BodyDecoder::Chunked(Chunk::Size);
    let (mut input, mut body) = (Vec::new(), Vec::new());
    for piece in bytes.chunks(size) {
        input.extend_from_slice(piece);
        decoder.decode(&mut input, &mut body).unwrap();
    }
    assert!(decoder.is_done());
    assert_eq!(body, b"hello world");
    assert_eq!(input, b"next", "what follows the body isn't part of it");
}

#[rstest]
#[case(b"x\r\n".as_slice())]
#[case(b"\r\n")]
#[case(b"5\nhello")]
#[case(b"3\r\nabcdef\r\n")]
fn malformed_chunks_are_refused(#[case] bytes: &[u8]) {
    let mut decoder = BodyDecoder::Chunked(Chunk::Size);
    let decoded = decoder.decode(&mut bytes.to_vec(), &mut Vec::new());
    assert_eq!(decoded, Err(DecodeError::Framing));
}

#[rstest]
#[case(&[("Content-Length", "4"), ("Transfer-Encoding", "chunked")])]
#[case(&[("Content-Length", "4"), ("Content-Length", "4")])]
#[case(&[("Content-Length", "-1")])]
#[case(&[("Content-Length", "")])]
#[case(&[("Transfer-Encoding", "identity")])]
fn a_request_whose_framing_is_ambiguous_is_refused(#[case] fields: &[(&str, &str)]) {
    assert_eq!(
        BodyDecoder::of_request(&headers(fields)),
        Err(DecodeError::Framing)
    );
}

#[test]
fn an_answer_without_a_length_ends_with_its_connection() {
    let response = Response::new(200, Vec::new());
    assert_eq!(
        BodyDecoder::of_response("GET", &response),
        Ok(BodyDecoder::UntilClose)
    );
    assert_eq!(
        BodyDecoder::of_response("HEAD", &response),
        Ok(BodyDecoder::Done)
    );
}

#[test]
fn heads_are_read_once_they_are_whole() {
    let bytes = b"POST /a?b=1 HTTP/1.1\r\nHost: x\r\n\r\nbody";
    assert_eq!(decode_request(&bytes[..20]), Ok(None));
    let (request, length) = decode_request(bytes).unwrap().unwrap();
    assert_eq!((request.path(), request.parameter("b")), ("/a", Some("1")));
    assert_eq!(&bytes[length..], b"body");
    assert_eq!(decode_response(b"nonsense\r\n\r\n"), Err(DecodeError::Head));
}

#[test]
fn fields_of_one_connection_are_not_passed_on() {
    let mut request = Request::new("GET", "/", Vec::new());
    request.headers = headers(&[
        ("Connection", "close, X-Own"),
        ("X-Own", "1"),
        ("Keep-Alive", "timeout=5"),
        ("X-Kept", "2"),
    ]);
    request.headers.remove_hop_by_hop();
    assert_eq!(request.headers, headers(&[("X-Kept", "2")]));
}
