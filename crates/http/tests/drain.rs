use {
    bytes::Bytes,
    mango_http::{
        CallerConnection, ChunkSource, Handler, HttpServer, Request, Response, ResponseBody,
        ServerLimits,
    },
    std::{
        io::{self, Read, Write},
        net::{SocketAddr, TcpStream},
        sync::Arc,
        time::{Duration, Instant},
    },
};

const REQUEST: &[u8] = b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody";
/// Drains to try, each on a new server, because the outcome depends on timing.
const DRAINS: usize = 60;
/// Connections that each send one request before a drain.
const CONNECTIONS: usize = 8;

struct EmptySource;

impl ChunkSource for EmptySource {
    fn next_chunk(&mut self) -> Option<io::Result<Bytes>> {
        None
    }
}

struct FixedResponseHandler;

impl Handler for FixedResponseHandler {
    type Source = EmptySource;

    fn handle(&self, _request: Request, _caller: &CallerConnection) -> Response<EmptySource> {
        Response::new(ResponseBody::full("done"))
    }
}

/// Opens a connection and sends a complete request on it.
fn send(address: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(address).expect("connect to the server");
    stream.set_read_timeout(Some(Duration::from_secs(5))).expect("set the read timeout");
    stream.write_all(REQUEST).expect("send the request");
    stream
}

// Guards against a drain that closes connections whose requests had already arrived, either
// because they were still in the accept queue or because their thread had not read them yet.
#[test]
fn requests_that_arrived_before_a_drain_are_answered() {
    let mut lost = 0;
    for _ in 0..DRAINS {
        let local = "127.0.0.1:0".parse().expect("valid address");
        let limits = ServerLimits::default();
        let server = HttpServer::bind(local, limits, Arc::new(FixedResponseHandler))
            .expect("start the server");
        let streams: Vec<TcpStream> = (0..CONNECTIONS).map(|_| send(server.address())).collect();
        assert!(
            server.drain(Instant::now() + Duration::from_secs(5)),
            "connections are still open at the deadline"
        );
        drop(server);
        for mut stream in streams {
            let mut response = String::new();
            let is_read = stream.read_to_string(&mut response).is_ok();
            lost += usize::from(!is_read || !response.ends_with("done"));
        }
    }
    assert_eq!(lost, 0, "lost requests of {}", DRAINS * CONNECTIONS);
}
