use {
    super::Connection,
    socket2::{SockFilter, SockRef},
    std::{
        io::{self, Read},
        net::{TcpListener, TcpStream},
        thread,
        time::{Duration, Instant},
    },
    tokio::{io::AsyncWriteExt, time::timeout},
};

/// User timeout of connections to endpoints.
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time in which a lost peer has to be found: the user timeout, the retransmission timeout and the
/// time of two checks.
const DETECTION_TIME: Duration = Duration::from_millis(2_300);
/// How much later the kernel may send the next probe of a closed receive window.
const PROBE_DELAY: Duration = Duration::from_secs(1);
/// Time limit of a test.
const TEST_TIMEOUT: Duration = Duration::from_secs(15);
const RECEIVE_BUFFER_BYTES: usize = 8_192;
/// More than the receive buffer and one segment of the loopback device take.
const BODY_BYTES: usize = 120_000;

/// Opens a watched connection to a peer with a small receive buffer.
async fn open() -> (Connection, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port");
    SockRef::from(&listener).set_recv_buffer_size(RECEIVE_BUFFER_BYTES).expect("a socket option");
    let address = listener.local_addr().expect("an address");
    let stream = tokio::net::TcpStream::connect(address).await.expect("a connection");
    let (peer, _) = listener.accept().expect("a connection");
    (Connection::open_watched(stream, USER_TIMEOUT).expect("socket options"), peer)
}

/// Makes the peer's kernel drop all segments, as if it was unplugged.
fn unplug(peer: &TcpStream) {
    const RETURN_CONSTANT: u16 = 6;
    let drop_all = SockFilter::new(RETURN_CONSTANT, 0, 0, 0);
    SockRef::from(peer).attach_filter(&[drop_all]).expect("a socket option");
}

async fn send(connection: &mut Connection, bytes: usize) {
    connection.watch.record_send();
    let bytes = vec![b'x'; bytes];
    let written = connection.writer.write_all(&bytes);
    timeout(TEST_TIMEOUT, written).await.expect("time left").expect("an open connection");
}

/// Waits until the connection fails; returns how long that took.
async fn wait_for_loss(connection: &mut Connection) -> Duration {
    let started_at = Instant::now();
    let received = timeout(TEST_TIMEOUT, connection.read_more()).await.expect("time left");
    let kind = received.expect_err("a lost peer").kind();
    assert_eq!(kind, io::ErrorKind::TimedOut);
    started_at.elapsed()
}

/// Guards against a connection that ends although its peer reads, in portions that are smaller than a
/// segment, or after a pause that is longer than the user timeout.
#[tokio::test]
async fn peers_that_read_slowly_are_not_lost() {
    let (mut steady, mut steady_peer) = open().await;
    let (mut paused, mut paused_peer) = open().await;
    let steady_reader = thread::spawn(move || {
        let (mut received, mut portion) = (0, [0; 3_000]);
        while received < BODY_BYTES {
            thread::sleep(Duration::from_millis(100));
            received += steady_peer.read(&mut portion).expect("an open connection");
        }
    });
    let paused_reader = thread::spawn(move || {
        let mut body = vec![0; BODY_BYTES];
        paused_peer.read_exact(&mut body[..1]).expect("an open connection");
        thread::sleep(4 * USER_TIMEOUT);
        paused_peer.read_exact(&mut body[1..]).expect("an open connection");
    });
    send(&mut steady, BODY_BYTES).await;
    send(&mut paused, BODY_BYTES).await;
    let (steady, paused) = tokio::join!(
        timeout(TEST_TIMEOUT, steady.read_more()),
        timeout(TEST_TIMEOUT, paused.read_more())
    );
    for received in [steady, paused] {
        // the end of the connection, which the peer has closed after the last byte
        assert_eq!(received.expect("time left").expect("an open connection"), 0);
    }
    for reader in [steady_reader, paused_reader] {
        reader.join().expect("a peer that got the whole body");
    }
}

/// Guards against late detection of a peer that was unplugged while bytes were on their way.
#[tokio::test]
async fn an_unplugged_peer_is_lost() {
    let (mut connection, peer) = open().await;
    send(&mut connection, 1).await;
    unplug(&peer);
    send(&mut connection, 4_000).await;
    let elapsed = wait_for_loss(&mut connection).await;
    assert!(elapsed < DETECTION_TIME, "{elapsed:?}");
}

/// Guards against late detection of a peer that was unplugged after it had read slowly.
#[tokio::test]
async fn a_peer_that_is_unplugged_while_it_does_not_read_is_lost() {
    for pause in [Duration::from_millis(100), Duration::from_secs(4)] {
        let (mut connection, peer) = open().await;
        send(&mut connection, BODY_BYTES).await;
        let is_open = timeout(pause, connection.read_more()).await.is_err();
        assert!(is_open, "lost after {pause:?}");
        unplug(&peer);
        let elapsed = wait_for_loss(&mut connection).await;
        assert!(elapsed < DETECTION_TIME + PROBE_DELAY, "{pause:?}: {elapsed:?}");
    }
}

/// Guards against a longer user timeout that stays in force after the peer has read everything.
#[tokio::test]
async fn the_user_timeout_is_restored_when_all_bytes_were_read() {
    let (mut connection, mut peer) = open().await;
    send(&mut connection, BODY_BYTES).await;
    let user_timeout =
        |connection: &Connection| SockRef::from(connection.reader.as_ref()).tcp_user_timeout();
    assert!(timeout(USER_TIMEOUT, connection.read_more()).await.is_err());
    let prolonged = user_timeout(&connection).expect("a socket option");
    assert!(prolonged > Some(USER_TIMEOUT), "{prolonged:?}");
    let reader = thread::spawn(move || {
        peer.read_exact(&mut vec![0; BODY_BYTES]).expect("an open connection");
        peer
    });
    assert!(timeout(Duration::from_secs(1), connection.read_more()).await.is_err());
    assert_eq!(user_timeout(&connection).expect("a socket option"), Some(USER_TIMEOUT));
    reader.join().expect("a peer that got the whole body");
}
