use {
    super::Direction,
    parking_lot::{Condvar, Mutex},
    std::{
        net::Shutdown,
        time::{Duration, Instant},
    },
};

struct Faults {
    // indexed by `Direction`
    frozen: [bool; 2],
    refusing: bool,
    delay: Duration,
    // how often all links were closed; a link that started at a lower count ends
    close_count: u64,
    // how the links that the last `close_all` ended shut their sockets down; `Read` leaves
    // the write side open, so that a socket with a linger time of 0 sends a TCP reset
    // when it is dropped
    shutdown: Shutdown,
    // how often the open links were silenced; a link that started at a lower count forwards
    // nothing any more
    silence_count: u64,
}

/// The state of the faults when a link started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LinkStart {
    close_count: u64,
    silence_count: u64,
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
            close_count: 0,
            shutdown: Shutdown::Both,
            silence_count: 0,
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

    /// Ends all links that exist now.
    pub(crate) fn close_all(&self, shutdown: Shutdown) {
        let mut faults = self.faults.lock();
        faults.close_count += 1;
        faults.shutdown = shutdown;
        drop(faults);
        self.changed.notify_all();
    }

    /// Lets all links that exist now forward nothing any more, without closing them.
    pub(crate) fn silence_all(&self) {
        self.faults.lock().silence_count += 1;
    }

    /// How a link shuts its sockets down at its end.
    pub(crate) fn shutdown(&self, start: LinkStart) -> Shutdown {
        let faults = self.faults.lock();
        if faults.close_count == start.close_count { Shutdown::Both } else { faults.shutdown }
    }

    /// What a link that starts now has to remember.
    pub(crate) fn link_start(&self) -> LinkStart {
        let faults = self.faults.lock();
        LinkStart { close_count: faults.close_count, silence_count: faults.silence_count }
    }

    /// Earliest time to forward data that arrives now.
    pub(crate) fn forward_time(&self) -> Instant {
        Instant::now() + self.faults.lock().delay
    }

    /// Waits until `forward_at` and while the direction is frozen or the link silenced. Returns
    /// whether the link is still open.
    pub(crate) fn wait_to_forward(
        &self,
        direction: Direction,
        forward_at: Instant,
        start: LinkStart,
    ) -> bool {
        let mut faults = self.faults.lock();
        loop {
            if faults.close_count != start.close_count {
                return false;
            }
            let is_silent = faults.silence_count != start.silence_count;
            if is_silent || faults.frozen[direction as usize] {
                self.changed.wait(&mut faults);
            } else if Instant::now() < forward_at {
                self.changed.wait_until(&mut faults, forward_at);
            } else {
                return true;
            }
        }
    }
}
