use {
    crate::platform::Outage,
    parking_lot::{Condvar, Mutex},
    std::{thread, time::Duration},
};

/// The service refuses requests at the moment.
pub(crate) struct Unavailable;

#[derive(Default)]
struct Faults {
    outage: Outage,
    delay: Duration,
    closed: bool,
}

/// Outage and delay of one service of the platform.
#[derive(Default)]
pub(crate) struct FaultGate {
    faults: Mutex<Faults>,
    changed: Condvar,
}

impl FaultGate {
    pub(crate) fn set_outage(&self, outage: Outage) {
        self.faults.lock().outage = outage;
        self.changed.notify_all();
    }

    pub(crate) fn set_delay(&self, delay: Duration) {
        self.faults.lock().delay = delay;
    }

    /// Refuses all requests from now on, also those that wait.
    pub(crate) fn close(&self) {
        self.faults.lock().closed = true;
        self.changed.notify_all();
    }

    pub(crate) fn is_open(&self) -> bool {
        let faults = self.faults.lock();
        faults.outage == Outage::None && !faults.closed
    }

    /// Delays a new request, then lets it pass or not.
    pub(crate) fn enter(&self) -> Result<(), Unavailable> {
        let delay = self.faults.lock().delay;
        if !delay.is_zero() {
            thread::sleep(delay);
        }
        self.pass()
    }

    /// Blocks while the service hangs.
    pub(crate) fn pass(&self) -> Result<(), Unavailable> {
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
