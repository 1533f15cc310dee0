use {
    crate::proxy::ProxyFaults,
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
    cuts: u64,
}

impl ProxyLink {
    pub(crate) fn start(
        caller: &TcpStream,
        target: &TcpStream,
        faults: &Arc<ProxyFaults>,
        cuts: u64,
    ) -> io::Result<()> {
        for (from, to) in [(caller, target), (target, caller)] {
            let (sender, receiver) = bounded(MAX_CHUNKS);
            let reader = Self::new(from, to, faults, cuts)?;
            let writer = Self::new(from, to, faults, cuts)?;
            spawn("proxy-read", move || reader.read(&sender))?;
            spawn("proxy-write", move || writer.write(&receiver))?;
        }
        Ok(())
    }

    fn new(
        from: &TcpStream,
        to: &TcpStream,
        faults: &Arc<ProxyFaults>,
        cuts: u64,
    ) -> io::Result<Self> {
        Ok(Self { from: from.try_clone()?, to: to.try_clone()?, faults: faults.clone(), cuts })
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
            if !self.faults.pass(chunk.due, self.cuts) {
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
        let _ = self.to.shutdown(Shutdown::Both);
        let _ = self.from.shutdown(Shutdown::Both);
    }
}

fn spawn(name: &str, run: impl FnOnce() + Send + 'static) -> io::Result<()> {
    thread::Builder::new().name(name.to_owned()).spawn(run).map(|_| ())
}
