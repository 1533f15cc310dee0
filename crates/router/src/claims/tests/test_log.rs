use {
    crate::platform::{LogError, RecordLog},
    crossbeam::channel::{Receiver, Sender, bounded},
    mango_wire::{
        Epoch, Offset,
        platform::{LogRecord, ReadReply},
        records::ClaimBatch,
    },
    parking_lot::Mutex,
    std::{
        sync::Arc,
        thread,
        time::{Duration, Instant},
    },
};

/// Points in an append and the reading back of its record.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Stage {
    BeforeAppend,
    AfterAppend,
    BeforeRead,
    AfterRead,
}

/// Log of one stream, shared by the hosts of a test, with faults.
#[derive(Default)]
pub(super) struct TestLog {
    records: Mutex<Vec<LogRecord>>,
    held_back: Mutex<Vec<String>>,
    faults: Mutex<Faults>,
}

#[derive(Clone, Default)]
pub(super) struct Faults {
    pub(super) down: bool,
    /// Appends take effect, but are answered `Unknown`.
    pub(super) lose_answers: bool,
    /// Appends take effect only at `release`, and are answered `Unknown`.
    pub(super) hold_back: bool,
    pub(super) delay: Duration,
    /// Injected fault: a reader sees only the records of its own epoch.
    pub(super) hide_other_epochs: bool,
}

/// A host's view of the log. It can be stopped at one stage.
pub(super) struct HostLog {
    shared: Arc<TestLog>,
    own_epoch: Mutex<Epoch>,
    stop: Mutex<Option<Stop>>,
}

/// Where to stop, whom to tell, and what lets the host go on.
type Stop = (Stage, Sender<()>, Receiver<()>);

impl TestLog {
    pub(super) fn set<F: FnOnce(&mut Faults)>(&self, change: F) {
        change(&mut self.faults.lock());
    }

    /// Lets the appends that were held back take effect.
    pub(super) fn release(&self) {
        for body in self.held_back.lock().drain(..) {
            self.put(&body);
        }
    }

    pub(super) fn bodies(&self) -> Vec<String> {
        self.records.lock().iter().map(|record| record.body.clone()).collect()
    }

    fn put(&self, body: &str) -> Offset {
        let mut records = self.records.lock();
        let offset = records.len() as Offset;
        records.push(LogRecord { offset, at_ms: 0, body: body.to_owned() });
        offset
    }
}

impl HostLog {
    pub(super) fn new(shared: Arc<TestLog>) -> Self {
        Self { shared, own_epoch: Mutex::new(0), stop: Mutex::new(None) }
    }

    /// Returns when the host has stopped and how to let it go on.
    pub(super) fn stop_at(&self, stage: Stage) -> (Receiver<()>, Sender<()>) {
        let ((reached, has_reached), (resume, resumed)) = (bounded(1), bounded(1));
        *self.stop.lock() = Some((stage, reached, resumed));
        (has_reached, resume)
    }

    fn pass(&self, stage: Stage) {
        let stop = self.stop.lock().take_if(|(at, _, _)| *at == stage);
        if let Some((_, reached, resumed)) = stop {
            let _ = reached.send(());
            let _ = resumed.recv();
        }
    }

    fn faults(&self) -> Result<Faults, LogError> {
        let faults = self.shared.faults.lock().clone();
        thread::sleep(faults.delay);
        if faults.down { Err(LogError::NotApplied("down".to_owned())) } else { Ok(faults) }
    }
}

impl RecordLog for HostLog {
    fn append(&self, _stream: &str, body: &str, _deadline: Instant) -> Result<Offset, LogError> {
        self.pass(Stage::BeforeAppend);
        let faults = self.faults()?;
        *self.own_epoch.lock() = parse(body).epoch;
        if faults.hold_back {
            self.shared.held_back.lock().push(body.to_owned());
            return Err(LogError::Unknown("held back".to_owned()));
        }
        let offset = self.shared.put(body);
        self.pass(Stage::AfterAppend);
        if faults.lose_answers {
            return Err(LogError::Unknown("answer lost".to_owned()));
        }
        Ok(offset)
    }

    fn read(
        &self,
        _stream: &str,
        from: Offset,
        _wait: Duration,
        _deadline: Instant,
    ) -> Result<ReadReply, LogError> {
        self.pass(Stage::BeforeRead);
        let faults = self.faults()?;
        let own_epoch = *self.own_epoch.lock();
        let visible = |body: &str| !faults.hide_other_epochs || parse(body).epoch == own_epoch;
        let records = self.shared.records.lock();
        let found = records.iter().skip(from as usize).filter(|r| visible(&r.body));
        let found = found.take(64).cloned().collect();
        let next_offset = records.len() as Offset;
        drop(records);
        self.pass(Stage::AfterRead);
        Ok(ReadReply { records: found, first_offset: 0, next_offset })
    }
}

pub(super) fn parse(body: &str) -> ClaimBatch {
    serde_json::from_str(body).unwrap()
}
