use {
    mango_standins::{Direction, FaultProxy},
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        thread,
        time::{Duration, Instant},
    },
};

/// Starts a server that sends back what it receives.
fn spawn_echo_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            thread::spawn(move || std::io::copy(&mut &stream, &mut &stream));
        }
    });
    address
}

fn connect(proxy: &FaultProxy) -> TcpStream {
    let stream = TcpStream::connect(proxy.address()).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    stream
}

fn round_trip(stream: &mut TcpStream) -> std::io::Result<Duration> {
    let start = Instant::now();
    stream.write_all(b"ping")?;
    let mut reply = [0; 4];
    stream.read_exact(&mut reply)?;
    assert_eq!(&reply, b"ping");
    Ok(start.elapsed())
}

/// Guards against data that is lost, reordered or truncated on its way, and against an end
/// of stream that is not forwarded.
#[test]
fn data_passes_unchanged() {
    let proxy = FaultProxy::spawn(spawn_echo_server());
    proxy.set_delay(Duration::from_millis(2));
    let mut stream = connect(&proxy);
    let sent: Vec<u8> = (0..4_000_000_u32).map(|i| (i % 251) as u8).collect();
    let mut writing = stream.try_clone().unwrap();
    let data = sent.clone();
    let writer = thread::spawn(move || {
        writing.write_all(&data).unwrap();
        writing.shutdown(std::net::Shutdown::Write).unwrap();
    });
    let mut received = Vec::new();
    stream.read_to_end(&mut received).unwrap();
    writer.join().unwrap();
    assert!(received == sent);
}

/// Guards against a freeze that loses data or forwards it.
#[test]
fn freeze_holds_data_until_resume() {
    let proxy = FaultProxy::spawn(spawn_echo_server());
    let mut stream = connect(&proxy);
    round_trip(&mut stream).unwrap();
    proxy.freeze();
    let frozen = thread::spawn(move || round_trip(&mut stream).unwrap());
    let mut new = connect(&proxy);
    thread::sleep(Duration::from_millis(200));
    assert!(!frozen.is_finished());
    proxy.resume();
    assert!(frozen.join().unwrap() >= Duration::from_millis(150));
    round_trip(&mut new).unwrap();
}

/// Guards against connections that stay open after `close_connections`, even if they are
/// frozen, and against new connections that fail after it or after refusals have ended.
#[test]
fn connections_are_closed_and_refused() {
    let proxy = FaultProxy::spawn(spawn_echo_server());
    let mut stream = connect(&proxy);
    round_trip(&mut stream).unwrap();
    proxy.freeze();
    proxy.close_connections();
    assert!(round_trip(&mut stream).is_err());
    proxy.resume();
    round_trip(&mut connect(&proxy)).unwrap();
    proxy.set_refusing(true);
    assert!(round_trip(&mut connect(&proxy)).is_err());
    proxy.set_refusing(false);
    round_trip(&mut connect(&proxy)).unwrap();
}

/// Guards against a delay that is missing in one direction.
#[test]
fn delay_applies_in_each_direction() {
    let proxy = FaultProxy::spawn(spawn_echo_server());
    let mut stream = connect(&proxy);
    round_trip(&mut stream).unwrap();
    proxy.set_delay(Duration::from_millis(40));
    assert!(round_trip(&mut stream).unwrap() >= Duration::from_millis(80));
}

/// Guards against a freeze of one direction that loses data of either direction.
#[test]
fn one_direction_can_be_frozen() {
    let proxy = FaultProxy::spawn(spawn_echo_server());
    let mut stream = connect(&proxy);
    round_trip(&mut stream).unwrap();
    proxy.freeze_direction(Direction::ToCaller);
    stream.set_read_timeout(Some(Duration::from_millis(200))).unwrap();
    assert!(round_trip(&mut stream).is_err());
    proxy.resume();
    stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    let mut reply = [0; 4];
    stream.read_exact(&mut reply).unwrap();
    round_trip(&mut stream).unwrap();
}

/// Guards against a reset that leaves a connection open or closes it without a TCP reset.
#[test]
fn a_reset_ends_connections() {
    let proxy = FaultProxy::spawn(spawn_echo_server());
    let mut stream = connect(&proxy);
    round_trip(&mut stream).unwrap();
    proxy.reset_connections();
    let mut byte = [0];
    let error = stream.read(&mut byte).unwrap_err();
    assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset);
    round_trip(&mut connect(&proxy)).unwrap();
}
