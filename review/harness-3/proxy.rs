//! A proxy between the routers and the store, whose open connections can go silent.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    connections: Arc<Mutex<Vec<Arc<Connection>>>>,
}

struct Connection {
    used_at: Mutex<Instant>,
    is_silent: AtomicBool,
}

impl Proxy {
    pub fn spawn(target: SocketAddr) -> Proxy {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for the proxy");
        let address = listener.local_addr().expect("its address");
        let proxy = Proxy { address, connections: Arc::default() };
        let accepting = proxy.clone();
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let Ok(far) = TcpStream::connect(target) else { continue };
                let _ = (near.set_nodelay(true), far.set_nodelay(true));
                let connection = Arc::new(Connection {
                    used_at: Mutex::new(Instant::now()),
                    is_silent: AtomicBool::new(false),
                });
                accepting.connections.lock().unwrap().push(connection.clone());
                for (from, to) in [(&near, &far), (&far, &near)] {
                    let (from, to) = (from.try_clone().unwrap(), to.try_clone().unwrap());
                    let connection = connection.clone();
                    thread::spawn(move || pass(from, to, &connection));
                }
            }
        });
        proxy
    }

    /// Connections that were idle for this long go silent for good, without a reset. Others and new ones
    /// work. Returns how many go silent.
    pub fn silence_idle(&self, idle: Duration) -> usize {
        let connections = self.connections.lock().unwrap();
        let is_idle = |c: &&Arc<Connection>| c.used_at.lock().unwrap().elapsed() >= idle;
        let idle: Vec<_> = connections.iter().filter(is_idle).collect();
        idle.iter().for_each(|connection| connection.is_silent.store(true, Ordering::SeqCst));
        idle.len()
    }
}

/// Passes bytes on, or drops them once the connection is silent.
fn pass(mut from: TcpStream, mut to: TcpStream, connection: &Connection) {
    let mut buffer = [0; 16_384];
    while let Ok(length @ 1..) = from.read(&mut buffer) {
        *connection.used_at.lock().unwrap() = Instant::now();
        let is_silent = connection.is_silent.load(Ordering::SeqCst);
        if !is_silent && to.write_all(&buffer[..length]).is_err() {
            return;
        }
    }
    if !connection.is_silent.load(Ordering::SeqCst) {
        let _ = to.shutdown(Shutdown::Write);
    }
}
