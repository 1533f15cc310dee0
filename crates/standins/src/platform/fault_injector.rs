use {
    crate::platform::Outage,
    parking_lot::{Condvar, Mutex},
    std::{thread, time::Duration},
};

/// Error of a request that the service refuses, by `Outage::Refuse` or after `close`.
pub(crate) struct Unavailable;

#[derive(Default)]
struct Faults {
    outage: Outage,
    delay: Duration,
    closed: bool,
}

/// Injects outages and delays into one service of the platform.
#[derive(Default)]
pub(crate) struct FaultInjector {
    faults: Mutex<Faults>,
    changed: Condvar,
}

impl FaultInjector {
    pub(crate) fn set_outage(&self, outage: Outage) {
        self.faults.lock().outage = outage;
        self.changed.notify_all();
    }

    pub(crate) fn set_delay(&self, delay: Duration) {
        self.faults.lock().delay = delay;
    }

    /// Refuses all requests from now on, waiting ones included.
    pub(crate) fn close(&self) {
        self.faults.lock().closed = true;
        self.changed.notify_all();
    }

    pub(crate) fn is_available(&self) -> bool {
        let faults = self.faults.lock();
        faults.outage == Outage::None && !faults.closed
    }

    /// Delays a new request, then waits until it can be served.
    pub(crate) fn delay_and_wait(&self) -> Result<(), Unavailable> {
        let delay = self.faults.lock().delay;
        if !delay.is_zero() {
            thread::sleep(delay);
        }
        self.wait_until_available()
    }

    /// Blocks while the service hangs. Fails if it refuses requests.
    pub(crate) fn wait_until_available(&self) -> Result<(), Unavailable> {
        let mut faults = self.faults.lock();
        loop {
            if faults.closed {
                return Err(Unavailable);
            }
            match faults.outage {
                Outage::None => return Ok(()),
                Outage::Refuse => return Err(Unavailable),
                Outage::Hang => self.changed.wait(&mut faults),
            }
        }
    }
}
