use {
    super::{ConfirmedRead, LogError, LogTail, MemoryLog, RecordLog, TailSink},
    crossbeam::channel::{Sender, unbounded},
    mango_wire::{
        Offset,
        platform::{LogRecord, ReadReply},
        settings::PlatformSettings,
    },
    serde_json::json,
    std::{
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

#[derive(Debug)]
enum Event {
    Record(Offset),
    Confirmed(ConfirmedRead),
    Gap(Offset),
}

struct EventSink(Sender<Event>);

impl TailSink for EventSink {
    fn record(&mut self, record: &LogRecord) {
        self.0.send(Event::Record(record.offset)).unwrap();
    }

    fn confirmed(&mut self, confirmed: ConfirmedRead) {
        let _ = self.0.send(Event::Confirmed(confirmed));
    }

    fn gap(&mut self, first_offset: Offset) {
        self.0.send(Event::Gap(first_offset)).unwrap();
    }
}

fn settings() -> PlatformSettings {
    serde_json::from_value(json!({
        "host_list_url": "", "log_url": "", "weight_store_url": "",
        "poll_ms": 30, "reconnect_max_ms": 100,
    }))
    .unwrap()
}

fn append_deadline() -> Instant {
    Instant::now() + Duration::from_secs(1)
}

// Guards against a read that is confirmed before all records were delivered. A host
// extends its lease after a confirmed read, and could then act on resources that
// another host has taken. The test log returns at most 16 records per read.
#[test]
fn tail_is_confirmed_only_after_all_records() {
    let log = MemoryLog::default();
    for _ in 0..100 {
        log.append("other", "", append_deadline()).unwrap();
        log.append("fleet", "", append_deadline()).unwrap();
    }
    let (sender, events) = unbounded();
    let _tail = LogTail::spawn(log.clone(), "fleet", &settings(), EventSink(sender)).unwrap();
    let mut records = 0;
    let confirmed = loop {
        match events.recv_timeout(Duration::from_secs(5)).unwrap() {
            Event::Record(_) => records += 1,
            Event::Confirmed(confirmed) => break confirmed,
            Event::Gap(offset) => panic!("gap at {offset}"),
        }
    };
    assert_eq!((records, confirmed.next_offset), (100, 201));
    // the long poll that is in progress delivers a new record
    let appended = log.append("fleet", "", append_deadline()).unwrap();
    loop {
        match events.recv_timeout(Duration::from_secs(5)).unwrap() {
            Event::Record(offset) => break assert_eq!(offset, appended),
            Event::Confirmed(confirmed) => assert!(confirmed.next_offset < 202),
            Event::Gap(offset) => panic!("gap at {offset}"),
        }
    }
}

/// Log whose first reads fail; later ones return no records without waiting, with
/// an increasing first offset.
#[derive(Clone, Default)]
struct FaultyLog {
    reads: Arc<AtomicUsize>,
}

impl RecordLog for FaultyLog {
    fn append(&self, _: &str, _: &str, _: Instant) -> Result<Offset, LogError> {
        Err(LogError::NotApplied(String::new()))
    }

    fn read(&self, _: &str, _: Offset, _: Duration, _: Instant) -> Result<ReadReply, LogError> {
        let reads = self.reads.fetch_add(1, Ordering::SeqCst) as u64;
        if reads < 4 {
            return Err(LogError::NotApplied(String::new()));
        }
        let first_offset = reads * 10;
        Ok(ReadReply { first_offset, next_offset: first_offset, records: Vec::new() })
    }
}

// Guards against reads without pauses from a log that fails or does not wait, and
// against records that expire unread and are not reported as a gap.
#[test]
fn faulty_log_is_read_with_pauses() {
    let log = FaultyLog::default();
    let (sender, events) = unbounded();
    let tail = LogTail::spawn(log.clone(), "fleet", &settings(), EventSink(sender)).unwrap();
    thread::sleep(Duration::from_millis(400));
    tail.stop();
    let reads = log.reads.load(Ordering::SeqCst);
    assert!((5..=90).contains(&reads), "{reads} reads in 400 ms");
    assert!(events.try_iter().any(|event| matches!(event, Event::Gap(_))));
}
