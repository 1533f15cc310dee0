use {
    super::{BodyDecoder, BodyFraming, HeadError, RequestHead, ResponseHead},
    proptest::prelude::*,
};

const MAX_HEAD_BYTES: usize = 16_384;

fn head(text: &str) -> Result<Option<RequestHead>, HeadError> {
    RequestHead::decode(&mut text.as_bytes().to_vec(), MAX_HEAD_BYTES)
}

fn framing(headers: &str) -> Result<BodyFraming, HeadError> {
    head(&format!("POST /a/ HTTP/1.1\r\nHost: h\r\n{headers}\r\n"))
        .map(|head| head.expect("a whole head").framing)
}

/// Guards against requests that another parser would cut elsewhere (smuggling).
#[test]
fn ambiguous_lengths_are_refused() {
    for headers in [
        "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: 3\r\nContent-Length: 4\r\n",
        "Content-Length: 3\r\nContent-Length: 3\r\n",
        "Content-Length: +3\r\n",
        "Content-Length: 3, 3\r\n",
        "Content-Length: \r\n",
        "Transfer-Encoding: chunked, identity\r\n",
        "Transfer-Encoding: identity\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
    ] {
        assert_eq!(framing(headers), Err(HeadError::Framing), "{headers:?}");
    }
    assert_eq!(framing("Content-Length: 12\r\n"), Ok(BodyFraming::Length(12)));
    assert_eq!(framing("Transfer-Encoding: Chunked\r\n"), Ok(BodyFraming::Chunked));
    assert_eq!(framing(""), Ok(BodyFraming::Length(0)));
}

/// Guards against header names with spaces and folded lines.
#[test]
fn malformed_header_lines_are_refused() {
    for text in [
        "GET / HTTP/1.1\r\nHost : h\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: h\r\n folded\r\n\r\n",
        "GET / HTTP/1.1\r\nX: a\rb\r\n\r\n",
        "GET / HTTP/2.0\r\n\r\n",
    ] {
        assert_eq!(head(text).map(|_| ()), Err(HeadError::Malformed), "{text:?}");
    }
}

/// Guards against a caller that strips a header by naming it in `Connection`, and
/// against hop-by-hop headers that reach an endpoint.
#[test]
fn hop_by_hop_headers_are_not_passed_on() {
    let text = "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close, X-One\r\nX-One: 1\r\n\
                Keep-Alive: timeout=5\r\nTE: trailers\r\nX-Two: 2\r\nContent-Length: 0\r\n\r\n";
    let head = head(text).expect("valid").expect("whole");
    let names: Vec<_> = head.headers.end_to_end().map(|header| &*header.name).collect();
    assert_eq!(names, ["Host", "X-Two"]);
    assert!(!head.keep_alive);
}

/// Guards against heads without an end that fill the memory.
#[test]
fn heads_are_bounded() {
    let long = format!("GET / HTTP/1.1\r\nX: {}", "a".repeat(MAX_HEAD_BYTES));
    assert_eq!(head(&long).map(|_| ()), Err(HeadError::TooLarge));
    let many = format!("GET / HTTP/1.1\r\n{}\r\n", "A: b\r\n".repeat(100));
    assert_eq!(head(&many).map(|_| ()), Err(HeadError::TooLarge));
}

fn decode(framing: BodyFraming, pieces: &[&[u8]]) -> Option<(Vec<u8>, Vec<u8>, bool)> {
    let mut decoder = BodyDecoder::new(framing);
    let (mut input, mut output) = (Vec::new(), Vec::new());
    for piece in pieces {
        input.extend_from_slice(piece);
        decoder.decode(&mut input, &mut output).ok()?;
    }
    Some((output, input, decoder.is_done()))
}

/// Guards against bytes after a body that are taken for a part of it.
#[test]
fn bytes_after_a_body_stay_in_the_input() {
    let whole = decode(BodyFraming::Length(3), &[b"abcHTTP/1.1"]);
    assert_eq!(whole, Some((b"abc".to_vec(), b"HTTP/1.1".to_vec(), true)));
    let chunks = b"2\r\nab\r\n1;x=y\r\nc\r\n0\r\nTrailer: t\r\n\r\nrest";
    let whole = decode(BodyFraming::Chunked, &[chunks]);
    assert_eq!(whole, Some((b"abc".to_vec(), b"rest".to_vec(), true)));
}

/// Guards against lenient chunk sizes and bare line ends, a way to smuggle requests.
#[test]
fn bad_chunks_are_refused() {
    let bad: [&[u8]; 7] = [
        b"g\r\n",
        b"\r\n",
        b"-1\r\n",
        b"0x1\r\na",
        b"1\na",
        b"1\r\nab\r\n",
        b"ffffffffffffffff1\r\n",
    ];
    for bytes in bad {
        assert_eq!(decode(BodyFraming::Chunked, &[bytes]), None, "{bytes:?}");
    }
}

/// Guards against a cut answer without a length that looks whole, and the reverse.
#[test]
fn only_an_orderly_close_completes_a_body_without_length() {
    let mut until_close = BodyDecoder::new(BodyFraming::UntilClose);
    let mut output = Vec::new();
    until_close.decode(&mut b"abc".to_vec(), &mut output).expect("any bytes");
    assert!(!until_close.is_done());
    assert!(until_close.finish());
    let mut counted = BodyDecoder::new(BodyFraming::Length(4));
    counted.decode(&mut b"abc".to_vec(), &mut output).expect("any bytes");
    assert!(!counted.finish());
}

/// Guards against an interim response that is taken for the answer.
#[test]
fn interim_responses_are_passed_over() {
    let mut input =
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".to_vec();
    let head = ResponseHead::decode(&mut input, "POST").expect("valid").expect("whole");
    assert_eq!((head.status, head.framing), (200, BodyFraming::Length(2)));
    assert_eq!(input, b"ok");
}

proptest! {
    /// Guards against panics and unbounded memory on any bytes.
    #[test]
    fn any_bytes_are_parsed_or_refused(bytes in proptest::collection::vec(any::<u8>(), 0..2_000)) {
        let _ = RequestHead::decode(&mut bytes.clone(), 1_000);
        let _ = ResponseHead::decode(&mut bytes.clone(), "GET");
        let mut output = Vec::new();
        let _ = BodyDecoder::new(BodyFraming::Chunked).decode(&mut bytes.clone(), &mut output);
        prop_assert!(output.len() <= bytes.len());
    }

    /// Guards against a result that depends on how the network cuts the bytes.
    #[test]
    fn chunks_decode_alike_however_they_arrive(
        body in proptest::collection::vec(any::<u8>(), 1..300),
        size in 1_usize..50,
        cut in 1_usize..40,
    ) {
        let mut encoded = Vec::new();
        for chunk in body.chunks(size) {
            encoded.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
            encoded.extend_from_slice(chunk);
            encoded.extend_from_slice(b"\r\n");
        }
        encoded.extend_from_slice(b"0\r\n\r\n");
        let pieces: Vec<&[u8]> = encoded.chunks(cut).collect();
        prop_assert_eq!(decode(BodyFraming::Chunked, &pieces), Some((body, Vec::new(), true)));
    }
}
