use {
    parking_lot::{Condvar, Mutex},
    std::time::{Duration, Instant},
};

struct Faults {
    frozen: bool,
    refusing: bool,
    delay: Duration,
    // counts cuts; a link that began before the last one is closed
    cuts: u64,
}

/// Faults that all links of a proxy share.
pub(crate) struct ProxyFaults {
    faults: Mutex<Faults>,
    changed: Condvar,
}

impl ProxyFaults {
    pub(crate) fn new() -> Self {
        let faults = Faults { frozen: false, refusing: false, delay: Duration::ZERO, cuts: 0 };
        Self { faults: Mutex::new(faults), changed: Condvar::new() }
    }

    pub(crate) fn set_frozen(&self, frozen: bool) {
        self.faults.lock().frozen = frozen;
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

    pub(crate) fn cut(&self) {
        self.faults.lock().cuts += 1;
        self.changed.notify_all();
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
    pub(crate) fn pass(&self, due: Instant, cuts: u64) -> bool {
        let mut faults = self.faults.lock();
        loop {
            if faults.cuts != cuts {
                return false;
            }
            if faults.frozen {
                self.changed.wait(&mut faults);
            } else if Instant::now() < due {
                self.changed.wait_until(&mut faults, due);
            } else {
                return true;
            }
        }
    }
}
