use {
    super::{
        allowed_versions::AllowedVersions,
        service_versions::ServiceVersions,
        version_hash::version_hash,
        version_record::{NamedVersion, SoftwareVersion, VersionRecord},
    },
    std::{
        collections::BTreeSet,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
};

const LIFETIME: Duration = Duration::from_secs(25);

/// The versions of one service, with a clock that the test sets.
struct Host {
    versions: ServiceVersions,
    start: Instant,
    elapsed: Duration,
}

impl Host {
    /// A host that reads this record when it starts.
    fn start(record: Option<&VersionRecord>) -> Host {
        let mut versions = ServiceVersions::default();
        versions.apply_record(record, true, wall_clock(Duration::ZERO));
        Host { versions, start: Instant::now(), elapsed: Duration::ZERO }
    }

    fn wait(&mut self, time: Duration) {
        self.elapsed += time;
    }

    fn observe(&mut self, present: &[&str]) {
        self.observe_directory(present, true);
    }

    fn observe_directory(&mut self, present: &[&str], is_up_to_date: bool) {
        let present: BTreeSet<SoftwareVersion> = present.iter().map(|&name| name.into()).collect();
        self.versions.observe(&present, is_up_to_date, LIFETIME, self.start + self.elapsed);
    }

    /// The record that the host wants to write.
    fn proposal(&self) -> Option<VersionRecord> {
        let now = self.start + self.elapsed;
        self.versions.proposal(&"llm".into(), LIFETIME, now, wall_clock(self.elapsed))
    }

    /// Writes the record that the host wants to write, and returns it.
    fn publish(&mut self) -> VersionRecord {
        let record = self.proposal().expect("a record to write");
        self.versions.apply_record(Some(&record), false, wall_clock(self.elapsed));
        record
    }

    fn only(&self) -> Option<&str> {
        self.versions.only(self.start + self.elapsed).map(|version| &**version)
    }

    fn may_begin(&self, version: &str) -> bool {
        self.versions.versions_to_begin(self.start + self.elapsed).contains(version)
    }
}

fn wall_clock(elapsed: Duration) -> SystemTime {
    UNIX_EPOCH + Duration::from_secs(1_000_000) + elapsed
}

/// A record whose versions were named this long before the start of the host.
fn record(names: &[&str], named_before: Duration) -> VersionRecord {
    let named_at = wall_clock(Duration::ZERO) - named_before;
    let versions =
        names.iter().map(|&name| NamedVersion { version: name.into(), named_at }).collect();
    VersionRecord { service: "llm".into(), versions }
}

fn names(record: &VersionRecord) -> Vec<&str> {
    record.versions.iter().map(|named| &*named.version).collect()
}

/// Guards against streams at a version of which other hosts cannot know.
#[test]
fn streams_begin_at_a_new_version_only_after_the_record_names_it() {
    let mut host = Host::start(Some(&record(&["v1"], LIFETIME * 2)));
    host.observe(&["v1", "v2"]);
    assert_eq!((host.may_begin("v1"), host.may_begin("v2")), (true, false));
    assert_eq!(names(&host.publish()), ["v1", "v2"]);
    assert!(host.may_begin("v2"));
    assert_eq!(host.proposal(), None);
}

/// Guards against a host that takes the only version in its directory for that of every stream,
/// although the one before has just left.
#[test]
fn a_version_that_has_left_stays_possible() {
    let mut host = Host::start(Some(&record(&["v1"], LIFETIME * 2)));
    host.observe(&["v2"]);
    assert_eq!(host.only(), None);
    host.publish();
    host.wait(LIFETIME);
    host.observe(&["v2"]);
    assert_eq!((host.only(), host.proposal()), (None, None));
    host.wait(Duration::from_millis(1));
    host.observe(&["v2"]);
    assert_eq!(names(&host.publish()), ["v2"]);
    assert_eq!(host.only(), Some("v2"));
}

/// Guards against a host that draws a conclusion from its directory where no host has written a
/// record yet.
#[test]
fn without_a_record_no_version_is_the_only_one() {
    let mut host = Host::start(None);
    host.observe(&["v1"]);
    assert_eq!((host.only(), host.may_begin("v1")), (None, true));
    assert_eq!(names(&host.publish()), ["v1"]);
    assert!(host.only().is_some());
}

/// Guards against streams at one of two versions that join together with their service: another host may
/// write the first record, and know only one of them.
#[test]
fn without_a_record_streams_begin_at_none_of_several_versions() {
    let mut host = Host::start(None);
    host.observe(&["v1", "v2"]);
    assert_eq!((host.may_begin("v1"), host.may_begin("v2")), (false, false));
    assert_eq!(names(&host.publish()), ["v1", "v2"]);
    assert_eq!((host.may_begin("v1"), host.may_begin("v2")), (true, true));
}

/// Guards against a name that is removed on the word of a directory that is out of date.
#[test]
fn a_directory_that_is_out_of_date_shows_no_absence() {
    let mut host = Host::start(Some(&record(&["v1", "v2"], LIFETIME * 2)));
    host.observe(&["v2"]);
    host.wait(LIFETIME);
    host.observe_directory(&["v2"], false);
    host.wait(LIFETIME);
    host.observe(&["v2"]);
    assert_eq!(host.proposal(), None);
}

/// Guards against a name that another host removes just when its version comes back.
#[test]
fn a_version_that_comes_back_is_named_again() {
    let old = record(&["v1", "v2"], LIFETIME * 2);
    let (mut first, mut second) = (Host::start(Some(&old)), Host::start(Some(&old)));
    for host in [&mut first, &mut second] {
        host.observe(&["v2"]);
        host.wait(LIFETIME + Duration::from_secs(1));
        host.observe(&["v2"]);
    }
    // the directory of the second host is late
    first.observe(&["v1", "v2"]);
    assert!(!first.may_begin("v1"));
    let named_again = first.publish();
    assert!(first.may_begin("v1"));
    second.versions.apply_record(Some(&named_again), false, wall_clock(second.elapsed));
    assert_eq!(second.proposal(), None);
}

/// Guards against a host that cannot reach the store and serves no streams after a rollout, which
/// the other hosts have recorded.
#[test]
fn streams_begin_at_an_unnamed_version_after_a_while() {
    let mut host = Host::start(Some(&record(&["v1"], LIFETIME * 2)));
    host.observe(&["v2"]);
    host.wait(Duration::from_secs(5));
    host.observe(&["v2"]);
    let allowed = host.versions.versions_to_begin(host.start + host.elapsed);
    let expected = [version_hash("v1"), version_hash("v2")];
    assert_eq!(allowed, AllowedVersions::AnyOf(expected.to_vec()));
}

/// Guards against streams that go on at another version: theirs had served and left while the store
/// rejected appends, so that no record ever named it.
#[test]
fn a_version_that_has_left_is_named_while_its_streams_may_go_on() {
    let mut host = Host::start(Some(&record(&["v1"], LIFETIME)));
    host.observe(&["v1", "v2"]);
    host.wait(Duration::from_secs(6));
    assert!(host.may_begin("v2"), "it was not named in time");
    host.observe(&["v1"]);
    assert_eq!(host.only(), None);
    assert_eq!(names(&host.publish()), ["v1", "v2"]);
    assert_eq!(host.proposal(), None, "it is named");
}

/// Guards against the same at a host that stood still meanwhile: others are about to name the version.
#[test]
fn a_host_that_was_out_of_step_waits_for_the_names_of_versions() {
    let mut host = Host::start(Some(&record(&["v1"], LIFETIME)));
    host.observe(&["v1"]);
    assert_eq!(host.only(), Some("v1"), "a host that starts has missed nothing");
    host.wait(Duration::from_secs(6));
    host.observe_directory(&["v1"], false);
    host.observe(&["v1"]);
    assert_eq!(host.only(), None);
    host.wait(Duration::from_secs(2));
    host.observe(&["v1"]);
    assert_eq!(host.only(), Some("v1"));
}
