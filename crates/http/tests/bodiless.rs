use {
    bytes::Bytes,
    hyper::StatusCode,
    mango_http::{
        CallerConnection, ChunkSource, Handler, HttpServer, Request, Response, ResponseBody,
        ServerLimits,
    },
    std::{
        io::{self, Read, Write},
        net::TcpStream,
        sync::Arc,
        time::Duration,
    },
};

/// Time in which all bytes of both responses arrive.
const READ_TIME: Duration = Duration::from_millis(300);

/// One chunk of an event stream.
struct OneEvent(Option<Bytes>);

impl ChunkSource for OneEvent {
    fn next_chunk(&mut self) -> Option<io::Result<Bytes>> {
        self.0.take().map(Ok)
    }
}

/// Responds with the status that the path names, to `/stream/...` with a stream.
struct StatusHandler;

impl Handler for StatusHandler {
    type Source = OneEvent;

    fn handle(&self, request: Request, _caller: &CallerConnection) -> Response<OneEvent> {
        let path = request.uri().path();
        let status = path.rsplit('/').next().and_then(|text| text.parse().ok()).unwrap_or(200);
        let body = match path.starts_with("/stream/") {
            true => ResponseBody::streamed(OneEvent(Some(Bytes::from_static(b"data: 1\n\n")))),
            false => ResponseBody::full("done"),
        };
        let mut response = Response::new(body);
        *response.status_mut() = StatusCode::from_u16(status).expect("a status");
        response
    }
}

// Guards against bytes after a response that has no body, which the caller takes for the beginning of
// its next response.
#[test]
fn the_next_response_follows_a_response_without_a_body() {
    let local = "127.0.0.1:0".parse().expect("valid address");
    let server = HttpServer::bind(local, ServerLimits::default(), Arc::new(StatusHandler))
        .expect("start the server");
    for (method, path) in [
        ("HEAD", "/full/200"),
        ("HEAD", "/stream/200"),
        ("HEAD", "/full/404"),
        ("GET", "/full/204"),
        ("GET", "/stream/204"),
        ("GET", "/full/304"),
        ("GET", "/stream/304"),
    ] {
        let mut stream = TcpStream::connect(server.address()).expect("connect to the server");
        stream.set_read_timeout(Some(READ_TIME)).expect("set the read timeout");
        let requests = format!(
            "{method} {path} HTTP/1.1\r\nHost: h\r\n\r\nGET /full/200 HTTP/1.1\r\nHost: h\r\n\r\n"
        );
        stream.write_all(requests.as_bytes()).expect("send the requests");
        let mut received = Vec::new();
        // ends with the timeout, since the connection stays open
        let _ = stream.read_to_end(&mut received);
        let text = String::from_utf8_lossy(&received);
        let (_, after_head) = text.split_once("\r\n\r\n").expect("a head");
        assert!(after_head.starts_with("HTTP/1.1 200"), "{method} {path}: {text}");
        assert!(after_head.ends_with("\r\n\r\ndone"), "{method} {path}: {text}");
    }
}
