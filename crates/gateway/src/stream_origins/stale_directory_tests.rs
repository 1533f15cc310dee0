//! Take-ups at a host whose directory is out of date, since it was cut off or stood still.

use {
    super::{
        origin_reader::OriginReader,
        origin_store::{OriginBatch, OriginChanges, OriginStore},
        shared_origins::{SharedOrigins, TakeUp},
        test_peers::peers,
        version_hash::{VersionHash, version_hash},
        version_record::{ConditionalAppend, NamedVersion, VersionListing, VersionRecord},
    },
    crate::{
        clock::BootInstant,
        config::ConfigState,
        endpoints::{Directory, EndpointRecord, EndpointState},
        records::{Continuity, FeedError, FeedKind, Offset},
        telemetry::GatewayMetrics,
    },
    std::{
        rc::Rc,
        time::{Duration, UNIX_EPOCH},
    },
    tokio::{
        runtime,
        task::{LocalSet, spawn_local},
    },
};

const SERVICE: &str = "llm";
/// Largest age at which the directory is up to date.
const MAX_DIRECTORY_AGE: Duration = Duration::from_millis(2_000);

/// A store whose record names the version `v1` only, and a log without origins.
struct TestStore;

impl OriginStore for TestStore {
    async fn list_versions(&mut self) -> Result<VersionListing, FeedError> {
        let versions = vec![NamedVersion { version: "v1".into(), named_at: UNIX_EPOCH }];
        let records = vec![VersionRecord { service: SERVICE.into(), versions }];
        Ok(VersionListing { records, end: 1 })
    }

    async fn append_versions(
        &mut self,
        _records: &[VersionRecord],
        _end: Offset,
    ) -> Result<ConditionalAppend, FeedError> {
        Ok(ConditionalAppend::LogHasGrown)
    }

    async fn append_origins(&mut self, _batch: &OriginBatch) -> Result<(), FeedError> {
        Ok(())
    }

    async fn read_origins(&mut self, _from: Offset) -> Result<OriginChanges, FeedError> {
        Ok(OriginChanges { batches: Vec::new(), next: 0, end: 0 })
    }
}

fn endpoint(id: &str, version: &str) -> EndpointRecord {
    EndpointRecord {
        id: id.into(),
        service: SERVICE.into(),
        address: ([127, 0, 0, 1], 9).into(),
        zone: "z".into(),
        software_version: version.into(),
        slots: 1,
        state: EndpointState::Ready,
        cold_ms: 0,
        started_at_unix_ms: 1,
        sequence: 1,
    }
}

/// Takes up a stream that this host does not know, through a host whose directory has an endpoint of `v1`
/// and was confirmed this long ago. Returns the version at which the stream goes on.
fn take_up(directory_age: Duration, continuity: Continuity) -> Option<VersionHash> {
    let runtime = runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let metrics = Rc::new(GatewayMetrics::new());
        let (peers, directory) = (peers(), Rc::<Directory>::default());
        directory.upsert(endpoint("a", "v1"));
        let confirmed_at = BootInstant::now().checked_sub(directory_age).expect("after the boot");
        peers.confirm_feed(FeedKind::Endpoints, confirmed_at, continuity);
        let config = Rc::new(ConfigState::new(Duration::from_secs(1)));
        let origins = SharedOrigins::new(
            config,
            directory,
            peers.clone(),
            metrics.clone(),
            MAX_DIRECTORY_AGE,
        );
        let origins = Rc::new(origins);
        spawn_local(OriginReader::new(TestStore, origins.clone(), peers, metrics).run());
        let take_up = TakeUp {
            request_id: "again",
            service: &SERVICE.into(),
            stream: Some(7),
            time_left: Duration::from_secs(4),
        };
        origins.find(&take_up).await.ok()
    })
}

/// How a host followed the log of the endpoints that saw no outage of the store.
fn without_outage() -> Continuity {
    Continuity { span: Duration::from_secs(60), follows_outage: false }
}

/// Guards against streams of two software versions: while a host was out of step, endpoints of another
/// version joined that the record does not name yet, and the host took the only version it knew for
/// that of every stream.
#[test]
fn a_host_with_an_old_directory_takes_no_version_for_the_only_one() {
    assert_eq!(take_up(Duration::from_secs(5), without_outage()), None);
}

/// Guards against the same just after an outage of the store, in which the records of the other version
/// expired: its endpoints are about to write them again.
#[test]
fn a_host_that_waits_for_expired_records_takes_no_version_for_the_only_one() {
    let continuity = Continuity { span: Duration::from_millis(500), follows_outage: true };
    assert_eq!(take_up(Duration::ZERO, continuity), None);
}

/// Guards against refusing streams at hosts that know all endpoints.
#[test]
fn a_host_with_a_current_directory_goes_on_at_the_only_version() {
    let continuity = Continuity { span: Duration::from_secs(3), follows_outage: true };
    for continuity in [without_outage(), continuity] {
        let found = take_up(Duration::from_millis(500), continuity);
        assert_eq!(found, Some(version_hash("v1")));
    }
}
