use {
    super::{
        origin_store::{OriginBatch, OriginChanges, OriginStore},
        origin_writer::write_origins,
        shared_origins::SharedOrigins,
        test_peers::peers,
        version_record::{ConditionalAppend, NamedVersion, VersionListing, VersionRecord},
    },
    crate::{
        config::ConfigState,
        endpoints::Directory,
        records::{FeedError, Offset},
        telemetry::GatewayMetrics,
    },
    std::{
        cell::RefCell,
        rc::Rc,
        time::{Duration, Instant, UNIX_EPOCH},
    },
    tokio::{
        runtime,
        task::{LocalSet, spawn_local},
        time::sleep,
    },
};

/// Time within which the log has the origin of a stream, with a margin for a busy machine.
const MAX_APPEND_TIME: Duration = Duration::from_millis(150);
/// Time between the beginnings of two streams.
const STREAM_INTERVAL: Duration = Duration::from_millis(210);
const STREAMS: u64 = 8;

/// A log that records when each stream was appended.
#[derive(Clone, Default)]
struct TestLog(Rc<RefCell<Vec<Appended>>>);

#[derive(Clone, Copy)]
struct Appended {
    stream: u64,
    at: Instant,
}

impl OriginStore for TestLog {
    async fn list_versions(&mut self) -> Result<VersionListing, FeedError> {
        Err(FeedError::Expired)
    }

    async fn append_versions(
        &mut self,
        _records: &[VersionRecord],
        _end: Offset,
    ) -> Result<ConditionalAppend, FeedError> {
        Ok(ConditionalAppend::LogHasGrown)
    }

    async fn append_origins(&mut self, batch: &OriginBatch) -> Result<(), FeedError> {
        let at = Instant::now();
        let appended = batch.origins.iter().map(|origin| Appended { stream: origin.stream, at });
        self.0.borrow_mut().extend(appended);
        Ok(())
    }

    async fn read_origins(&mut self, _from: Offset) -> Result<OriginChanges, FeedError> {
        Err(FeedError::Expired)
    }
}

/// What a host knows whose service `llm` has two software versions.
fn origins_of_two_versions(metrics: &Rc<GatewayMetrics>) -> Rc<SharedOrigins> {
    let config = Rc::new(ConfigState::new(Duration::from_secs(1)));
    let directory = Rc::<Directory>::default();
    let origins =
        SharedOrigins::new(config, directory, peers(), metrics.clone(), Duration::from_secs(2));
    let named = |version: &str| NamedVersion { version: version.into(), named_at: UNIX_EPOCH };
    let versions = vec![named("v1"), named("v2")];
    let records = vec![VersionRecord { service: "llm".into(), versions }];
    origins.apply_version_listing(&VersionListing { records, end: 1 });
    Rc::new(origins)
}

/// Guards against streams whose version nobody knows after all hosts were killed a moment after their
/// first event.
#[test]
fn the_log_has_the_origin_of_a_stream_soon_after_its_first_event() {
    let runtime = runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let metrics = Rc::new(GatewayMetrics::new());
        let (origins, log) = (origins_of_two_versions(&metrics), TestLog::default());
        spawn_local(write_origins(log.clone(), origins.clone(), peers(), metrics));
        let mut open = Vec::new();
        for stream in 0..STREAMS {
            let began_at = Instant::now();
            open.push(origins.open(&"llm".into(), stream, 1));
            sleep(STREAM_INTERVAL).await;
            let appended = log.0.borrow().iter().copied().find(|a| a.stream == stream);
            let took = appended.map(|appended| appended.at - began_at);
            assert!(took.is_some_and(|took| took <= MAX_APPEND_TIME), "{stream}: {took:?}");
        }
    });
}
