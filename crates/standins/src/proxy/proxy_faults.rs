use {
    super::Direction,
    parking_lot::{Condvar, Mutex},
    std::{
        net::Shutdown,
        time::{Duration, Instant},
    },
};

struct Faults {
    // per direction: to the target, to the caller
    frozen: [bool; 2],
    refusing: bool,
    delay: Duration,
    // counts cuts; a link that began before the last one is closed
    cuts: u64,
    // how sockets are shut down after the last cut; without a shutdown for writing, a
    // socket that does not linger is reset when it is dropped
    shutdown: Shutdown,
}

/// Faults that all links of a proxy share.
pub(crate) struct ProxyFaults {
    faults: Mutex<Faults>,
    changed: Condvar,
}

impl ProxyFaults {
    pub(crate) fn new() -> Self {
        let faults = Faults {
            frozen: [false; 2],
            refusing: false,
            delay: Duration::ZERO,
            cuts: 0,
            shutdown: Shutdown::Both,
        };
        Self { faults: Mutex::new(faults), changed: Condvar::new() }
    }

    pub(crate) fn set_frozen(&self, direction: Direction, frozen: bool) {
        self.faults.lock().frozen[direction as usize] = frozen;
        self.changed.notify_all();
    }

    pub(crate) fn set_refusing(&self, refusing: bool) {
        self.faults.lock().refusing = refusing;
    }

    pub(crate) fn is_refusing(&self) -> bool {
        self.faults.lock().refusing
    }

    pub(crate) fn set_delay(&self, delay: Duration) {
        self.faults.lock().delay = delay;
    }

    pub(crate) fn cut(&self, shutdown: Shutdown) {
        let mut faults = self.faults.lock();
        faults.cuts += 1;
        faults.shutdown = shutdown;
        drop(faults);
        self.changed.notify_all();
    }

    /// How a link that began after `cuts` cuts shuts its sockets down at its end.
    pub(crate) fn shutdown(&self, cuts: u64) -> Shutdown {
        let faults = self.faults.lock();
        if faults.cuts == cuts { Shutdown::Both } else { faults.shutdown }
    }

    pub(crate) fn cuts(&self) -> u64 {
        self.faults.lock().cuts
    }

    /// When data that arrives now may go on.
    pub(crate) fn due(&self) -> Instant {
        Instant::now() + self.faults.lock().delay
    }

    /// Waits until data that is due may pass. Returns whether the link, which
    /// began after `cuts` cuts, is still open.
    pub(crate) fn pass(&self, direction: Direction, due: Instant, cuts: u64) -> bool {
        let mut faults = self.faults.lock();
        loop {
            if faults.cuts != cuts {
                return false;
            }
            if faults.frozen[direction as usize] {
                self.changed.wait(&mut faults);
            } else if Instant::now() < due {
                self.changed.wait_until(&mut faults, due);
            } else {
                return true;
            }
        }
    }
}
