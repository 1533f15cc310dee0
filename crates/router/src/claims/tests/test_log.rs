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

/// Points at which a request to the log can be paused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Stage {
    BeforeAppend,
    AfterAppend,
    BeforeRead,
    AfterRead,
}

/// Log of one stream with injected faults, shared by the hosts of a test.
#[derive(Default)]
pub(super) struct TestLog {
    records: Mutex<Vec<LogRecord>>,
    held_back: Mutex<Vec<String>>,
    faults: Mutex<Faults>,
}

#[derive(Clone, Default)]
pub(super) struct Faults {
    /// All requests fail.
    pub(super) down: bool,
    /// Appends take effect, but return `LogError::Unknown`.
    pub(super) lose_answers: bool,
    /// Appends take effect only at `release_held_back`, and return `LogError::Unknown`.
    pub(super) hold_back: bool,
    /// Added to each request before it takes effect.
    pub(super) delay: Duration,
    /// A reader sees only the records of its own epoch, to test the checker.
    pub(super) hide_other_epochs: bool,
}

/// Log client of one host. One request can be paused at a stage.
pub(super) struct HostLog {
    shared: Arc<TestLog>,
    /// Epoch of the host's newest append.
    own_epoch: Mutex<Epoch>,
    pause: Mutex<Option<Pause>>,
}

/// Stage to pause at, sender that signals that it is reached, and receiver of the signal
/// to resume.
type Pause = (Stage, Sender<()>, Receiver<()>);

impl TestLog {
    pub(super) fn set_faults<F: FnOnce(&mut Faults)>(&self, change: F) {
        change(&mut self.faults.lock());
    }

    /// Lets the appends that were held back take effect.
    pub(super) fn release_held_back(&self) {
        for body in self.held_back.lock().drain(..) {
            self.push_record(&body);
        }
    }

    pub(super) fn bodies(&self) -> Vec<String> {
        self.records.lock().iter().map(|record| record.body.clone()).collect()
    }

    fn push_record(&self, body: &str) -> Offset {
        let mut records = self.records.lock();
        let offset = records.len() as Offset;
        records.push(LogRecord { offset, at_ms: 0, body: body.to_owned() });
        offset
    }
}

impl HostLog {
    pub(super) fn new(shared: Arc<TestLog>) -> Self {
        Self { shared, own_epoch: Mutex::new(0), pause: Mutex::new(None) }
    }

    /// Pauses the next request that reaches `stage`. Returns the receiver that signals that
    /// it is reached and the sender that resumes the request.
    pub(super) fn pause_at(&self, stage: Stage) -> (Receiver<()>, Sender<()>) {
        let ((reached, has_reached), (resume, resumed)) = (bounded(1), bounded(1));
        *self.pause.lock() = Some((stage, reached, resumed));
        (has_reached, resume)
    }

    /// Waits here if a pause is set for this stage.
    fn wait_if_paused(&self, stage: Stage) {
        let pause = self.pause.lock().take_if(|(at, _, _)| *at == stage);
        if let Some((_, reached, resumed)) = pause {
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
        self.wait_if_paused(Stage::BeforeAppend);
        let faults = self.faults()?;
        *self.own_epoch.lock() = parse_batch(body).epoch;
        if faults.hold_back {
            self.shared.held_back.lock().push(body.to_owned());
            return Err(LogError::Unknown("held back".to_owned()));
        }
        let offset = self.shared.push_record(body);
        self.wait_if_paused(Stage::AfterAppend);
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
        self.wait_if_paused(Stage::BeforeRead);
        let faults = self.faults()?;
        let own_epoch = *self.own_epoch.lock();
        let visible =
            |body: &str| !faults.hide_other_epochs || parse_batch(body).epoch == own_epoch;
        let records = self.shared.records.lock();
        let found = records.iter().skip(from as usize).filter(|r| visible(&r.body));
        let found = found.take(64).cloned().collect();
        let next_offset = records.len() as Offset;
        drop(records);
        self.wait_if_paused(Stage::AfterRead);
        Ok(ReadReply { records: found, first_offset: 0, next_offset })
    }
}

pub(super) fn parse_batch(body: &str) -> ClaimBatch {
    serde_json::from_str(body).unwrap()
}
