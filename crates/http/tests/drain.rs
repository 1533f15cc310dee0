use {
    bytes::Bytes,
    mango_http::{
        Answer, AnswerBody, CallerLink, ChunkSource, Handler, HttpServer, Request, ServerLimits,
    },
    std::{
        io::{self, Read, Write},
        net::{SocketAddr, TcpStream},
        sync::Arc,
        time::{Duration, Instant},
    },
};

const REQUEST: &[u8] = b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody";
/// Stops that are tried; each is a race of its own.
const STOPS: usize = 60;
/// Connections whose requests are sent before each stop.
const CALLERS: usize = 8;

struct NoSource;

impl ChunkSource for NoSource {
    fn next_chunk(&mut self) -> Option<io::Result<Bytes>> {
        None
    }
}

struct Answering;

impl Handler for Answering {
    type Source = NoSource;

    fn handle(&self, _request: Request, _link: &CallerLink) -> Answer<NoSource> {
        Answer::new(AnswerBody::whole("done"))
    }
}

/// Sends a whole request on a connection of its own.
fn send(address: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(address).expect("a connection");
    stream.set_read_timeout(Some(Duration::from_secs(5))).expect("a time limit");
    stream.write_all(REQUEST).expect("sent");
    stream
}

// Guards against a planned stop that closes connections whose requests had arrived: those
// that were not accepted yet, and those whose thread had not read them yet.
#[test]
fn requests_that_arrived_before_a_stop_are_answered() {
    let mut lost = 0;
    for _ in 0..STOPS {
        let local = "127.0.0.1:0".parse().expect("an address");
        let limits = ServerLimits::default();
        let server = HttpServer::bind(local, limits, Arc::new(Answering)).expect("a server");
        let streams: Vec<TcpStream> = (0..CALLERS).map(|_| send(server.address())).collect();
        assert!(server.drain(Instant::now() + Duration::from_secs(5)), "connections stay open");
        drop(server);
        for mut stream in streams {
            let mut answer = String::new();
            let is_read = stream.read_to_string(&mut answer).is_ok();
            lost += usize::from(!is_read || !answer.ends_with("done"));
        }
    }
    assert_eq!(lost, 0, "of {} requests", STOPS * CALLERS);
}
