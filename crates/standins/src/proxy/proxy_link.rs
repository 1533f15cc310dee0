use {
    crate::proxy::{Direction, ProxyFaults, proxy_faults::LinkStart},
    crossbeam::channel::{Receiver, Sender, bounded},
    std::{
        io::{self, Read, Write},
        net::{Shutdown, TcpStream},
        sync::Arc,
        thread,
        time::Instant,
    },
};

const CHUNK_BYTES: usize = 16 * 1024;
// Limit for the chunks in transit in one direction; above it, a link stops reading.
const MAX_CHUNKS: usize = 256;

struct Chunk {
    forward_at: Instant,
    // empty at the end of the stream
    bytes: Vec<u8>,
}

/// One direction of a connection through a proxy, served by a reader and a writer
/// thread, so that a delay does not limit throughput.
pub(crate) struct ProxyLink {
    from: TcpStream,
    to: TcpStream,
    faults: Arc<ProxyFaults>,
    direction: Direction,
    start: LinkStart,
}

impl ProxyLink {
    /// Starts the threads of both directions.
    pub(crate) fn start(
        caller: &TcpStream,
        target: &TcpStream,
        faults: &Arc<ProxyFaults>,
        start: LinkStart,
    ) -> io::Result<()> {
        let directions =
            [(Direction::ToTarget, caller, target), (Direction::ToCaller, target, caller)];
        for (direction, from, to) in directions {
            let (sender, receiver) = bounded(MAX_CHUNKS);
            let new_link = || -> io::Result<Self> {
                let (from, to) = (from.try_clone()?, to.try_clone()?);
                Ok(Self { from, to, faults: faults.clone(), direction, start })
            };
            let (reader, writer) = (new_link()?, new_link()?);
            spawn("proxy-read", move || reader.read(&sender))?;
            spawn("proxy-write", move || writer.write(&receiver))?;
        }
        Ok(())
    }

    fn read(mut self, sender: &Sender<Chunk>) {
        let mut buffer = vec![0; CHUNK_BYTES];
        loop {
            // a failed connection is handled like a closed one
            let count = self.from.read(&mut buffer).unwrap_or(0);
            let chunk =
                Chunk { forward_at: self.faults.forward_time(), bytes: buffer[..count].to_vec() };
            if sender.send(chunk).is_err() || count == 0 {
                return;
            }
        }
    }

    fn write(mut self, receiver: &Receiver<Chunk>) {
        for chunk in receiver {
            if !self.faults.wait_to_forward(self.direction, chunk.forward_at, self.start) {
                break;
            }
            if chunk.bytes.is_empty() {
                let _ = self.to.shutdown(Shutdown::Write);
                return;
            }
            if self.to.write_all(&chunk.bytes).is_err() {
                break;
            }
        }
        // fails only if the connections are already closed
        let shutdown = self.faults.shutdown(self.start);
        let _ = self.to.shutdown(shutdown);
        let _ = self.from.shutdown(shutdown);
    }
}

fn spawn(name: &str, run: impl FnOnce() + Send + 'static) -> io::Result<()> {
    thread::Builder::new().name(name.to_owned()).spawn(run).map(|_| ())
}
