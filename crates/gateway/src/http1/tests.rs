use {
    super::{BodyDecoder, BodyFraming, HeadError, RequestHead, ResponseHead},
    proptest::prelude::*,
};

const MAX_HEAD_BYTES: usize = 16_384;

fn decode_head(text: &str) -> Result<Option<RequestHead>, HeadError> {
    RequestHead::decode(&mut text.as_bytes().to_vec(), MAX_HEAD_BYTES)
}

fn framing(headers: &str) -> Result<BodyFraming, HeadError> {
    decode_head(&format!("POST /a/ HTTP/1.1\r\nHost: h\r\n{headers}\r\n"))
        .map(|head| head.expect("a complete head").framing)
}

/// Guards against request smuggling: with ambiguous framing headers, another parser may find
/// the end of the body elsewhere.
#[test]
fn ambiguous_framing_headers_are_rejected() {
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

/// Guards against accepting header names with trailing spaces, folded lines and bare CRs.
#[test]
fn malformed_header_lines_are_rejected() {
    for text in [
        "GET / HTTP/1.1\r\nHost : h\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: h\r\n folded\r\n\r\n",
        "GET / HTTP/1.1\r\nX: a\rb\r\n\r\n",
        "GET / HTTP/2.0\r\n\r\n",
    ] {
        assert_eq!(decode_head(text).map(|_| ()), Err(HeadError::Malformed), "{text:?}");
    }
}

/// Guards against forwarding hop-by-hop headers, or headers that `Connection` names, to an
/// endpoint.
#[test]
fn hop_by_hop_headers_are_not_forwarded() {
    let text = "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close, X-One\r\nX-One: 1\r\n\
                Keep-Alive: timeout=5\r\nTE: trailers\r\nX-Two: 2\r\nContent-Length: 0\r\n\r\n";
    let head = decode_head(text).expect("a valid head").expect("a complete head");
    let names: Vec<_> = head.headers.end_to_end().map(|header| &*header.name).collect();
    assert_eq!(names, ["Host", "X-Two"]);
    assert!(!head.keep_alive);
}

/// Guards against unbounded memory use by a request head that never ends.
#[test]
fn head_size_is_limited() {
    let long = format!("GET / HTTP/1.1\r\nX: {}", "a".repeat(MAX_HEAD_BYTES));
    assert_eq!(decode_head(&long).map(|_| ()), Err(HeadError::TooLarge));
    // the shortest headers: only their bytes count
    let many = |headers: usize| format!("GET / HTTP/1.1\r\n{}\r\n", "A:\r\n".repeat(headers));
    let most = (MAX_HEAD_BYTES - "GET / HTTP/1.1\r\n\r\n".len()) / "A:\r\n".len();
    let head = decode_head(&many(most)).expect("within the limit").expect("a complete head");
    assert_eq!(head.headers.iter().count(), most);
    assert_eq!(decode_head(&many(most + 1)).map(|_| ()), Err(HeadError::TooLarge));
}

/// Decodes a body that arrives in pieces. Returns the body, the bytes after it and whether it
/// is complete, or `None` if it is malformed.
fn decode_body(framing: BodyFraming, pieces: &[&[u8]]) -> Option<(Vec<u8>, Vec<u8>, bool)> {
    let mut decoder = BodyDecoder::new(framing);
    let (mut input, mut output) = (Vec::new(), Vec::new());
    for piece in pieces {
        input.extend_from_slice(piece);
        decoder.decode(&mut input, &mut output).ok()?;
    }
    Some((output, input, decoder.is_done()))
}

/// Guards against decoding bytes after a body as part of it.
#[test]
fn bytes_after_a_body_remain_in_the_input() {
    let decoded = decode_body(BodyFraming::Length(3), &[b"abcHTTP/1.1"]);
    assert_eq!(decoded, Some((b"abc".to_vec(), b"HTTP/1.1".to_vec(), true)));
    let chunks = b"2\r\nab\r\n1;x=y\r\nc\r\n0\r\nTrailer: t\r\n\r\nrest";
    let decoded = decode_body(BodyFraming::Chunked, &[chunks]);
    assert_eq!(decoded, Some((b"abc".to_vec(), b"rest".to_vec(), true)));
}

/// Guards against request smuggling through leniently parsed chunk sizes and bare line feeds.
#[test]
fn malformed_chunks_are_rejected() {
    let malformed: [&[u8]; 7] = [
        b"g\r\n",
        b"\r\n",
        b"-1\r\n",
        b"0x1\r\na",
        b"1\na",
        b"1\r\nab\r\n",
        b"ffffffffffffffff1\r\n",
    ];
    for bytes in malformed {
        assert_eq!(decode_body(BodyFraming::Chunked, &[bytes]), None, "{bytes:?}");
    }
}

/// Guards against treating a truncated response as complete: a close completes only a body
/// that has no declared length.
#[test]
fn only_an_orderly_close_completes_a_body_without_length() {
    let mut until_close = BodyDecoder::new(BodyFraming::UntilClose);
    let mut output = Vec::new();
    until_close.decode(&mut b"abc".to_vec(), &mut output).expect("a valid body");
    assert!(!until_close.is_done());
    assert!(until_close.finish());
    let mut with_length = BodyDecoder::new(BodyFraming::Length(4));
    with_length.decode(&mut b"abc".to_vec(), &mut output).expect("a valid body");
    assert!(!with_length.finish());
}

/// Guards against treating an interim (1xx) response as the final one.
#[test]
fn interim_responses_are_skipped() {
    let mut input =
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".to_vec();
    let head =
        ResponseHead::decode(&mut input, "POST").expect("a valid head").expect("a complete head");
    assert_eq!((head.status, head.framing), (200, BodyFraming::Length(2)));
    assert_eq!(input, b"ok");
}

proptest! {
    /// Guards against panics and unbounded memory use on arbitrary input.
    #[test]
    fn arbitrary_bytes_are_parsed_or_rejected(bytes in proptest::collection::vec(any::<u8>(), 0..2_000)) {
        let _ = RequestHead::decode(&mut bytes.clone(), 1_000);
        let _ = ResponseHead::decode(&mut bytes.clone(), "GET");
        let mut output = Vec::new();
        let _ = BodyDecoder::new(BodyFraming::Chunked).decode(&mut bytes.clone(), &mut output);
        prop_assert!(output.len() <= bytes.len());
    }

    /// Guards against a result that depends on how the bytes are split into reads.
    #[test]
    fn chunked_decoding_is_independent_of_read_boundaries(
        body in proptest::collection::vec(any::<u8>(), 1..300),
        chunk_bytes in 1_usize..50,
        read_bytes in 1_usize..40,
    ) {
        let mut encoded = Vec::new();
        for chunk in body.chunks(chunk_bytes) {
            encoded.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
            encoded.extend_from_slice(chunk);
            encoded.extend_from_slice(b"\r\n");
        }
        encoded.extend_from_slice(b"0\r\n\r\n");
        let pieces: Vec<&[u8]> = encoded.chunks(read_bytes).collect();
        prop_assert_eq!(decode_body(BodyFraming::Chunked, &pieces), Some((body, Vec::new(), true)));
    }
}
