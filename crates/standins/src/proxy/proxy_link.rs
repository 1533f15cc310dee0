use {
    crate::proxy::{Direction, ProxyFaults},
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
// Chunks in transit in one direction; a frozen link then stops reading.
const MAX_CHUNKS: usize = 256;

struct Chunk {
    due: Instant,
    // empty at the end of the stream
    bytes: Vec<u8>,
}

/// One connection through a proxy. A reader and a writer thread serve each
/// direction, so that a delay does not limit throughput.
pub(crate) struct ProxyLink {
    from: TcpStream,
    to: TcpStream,
    faults: Arc<ProxyFaults>,
    direction: Direction,
    cuts: u64,
}

impl ProxyLink {
    pub(crate) fn start(
        caller: &TcpStream,
        target: &TcpStream,
        faults: &Arc<ProxyFaults>,
        cuts: u64,
    ) -> io::Result<()> {
        let ways = [(Direction::ToTarget, caller, target), (Direction::ToCaller, target, caller)];
        for (direction, from, to) in ways {
            let (sender, receiver) = bounded(MAX_CHUNKS);
            let new = || -> io::Result<Self> {
                let (from, to) = (from.try_clone()?, to.try_clone()?);
                Ok(Self { from, to, faults: faults.clone(), direction, cuts })
            };
            let (reader, writer) = (new()?, new()?);
            spawn("proxy-read", move || reader.read(&sender))?;
            spawn("proxy-write", move || writer.write(&receiver))?;
        }
        Ok(())
    }

    fn read(mut self, sender: &Sender<Chunk>) {
        let mut buffer = vec![0; CHUNK_BYTES];
        loop {
            // a broken connection ends like a closed one
            let count = self.from.read(&mut buffer).unwrap_or(0);
            let chunk = Chunk { due: self.faults.due(), bytes: buffer[..count].to_vec() };
            if sender.send(chunk).is_err() || count == 0 {
                return;
            }
        }
    }

    fn write(mut self, receiver: &Receiver<Chunk>) {
        for chunk in receiver {
            if !self.faults.pass(self.direction, chunk.due, self.cuts) {
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
        // errors mean that the connections are closed already
        let shutdown = self.faults.shutdown(self.cuts);
        let _ = self.to.shutdown(shutdown);
        let _ = self.from.shutdown(shutdown);
    }
}

fn spawn(name: &str, run: impl FnOnce() + Send + 'static) -> io::Result<()> {
    thread::Builder::new().name(name.to_owned()).spawn(run).map(|_| ())
}
