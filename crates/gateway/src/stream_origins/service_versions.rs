use {
    super::{
        allowed_versions::AllowedVersions,
        version_hash::version_hash,
        version_record::{NamedVersion, SoftwareVersion, VersionRecord},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        rc::Rc,
        time::{Duration, Instant, SystemTime},
    },
};

/// A record that is not older shows that its version appeared in this rollout.
const RECENT_NAMING: Duration = Duration::from_secs(5);
/// Streams begin at a version that the record does not name yet once it has been in service for this
/// long: hosts that reach the store have named it, and this one does not.
const UNNAMED_VERSION_DELAY: Duration = Duration::from_secs(5);
/// Time within which hosts that reach the store name a version.
const NAMING_TIME: Duration = Duration::from_secs(2);

/// The software versions of one service at which streams may have begun.
///
/// A stream begins only at a version that the newest record in the store names, so that hosts that
/// read the record know of every version at which a stream may go on.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceVersions {
    /// Since when the directory has had endpoints of a version.
    present_since: BTreeMap<SoftwareVersion, Instant>,
    /// Since when the directory has had no endpoint of a version that the record names.
    absent_since: BTreeMap<SoftwareVersion, Instant>,
    /// The versions of the newest record, and when each was named; `None` without a record.
    named: Option<BTreeMap<SoftwareVersion, SystemTime>>,
    /// Since when the directory has had no endpoint of a version at which streams may have begun although no
    /// record named it.
    left_unnamed: BTreeMap<SoftwareVersion, Instant>,
    /// Whether the directory had all endpoints when it was last observed; `None` before.
    is_up_to_date: Option<bool>,
    /// Until then, versions that joined while the directory was out of date may still be unnamed.
    settled_at: Option<Instant>,
    /// The versions that will be named for as long as a stream that begins now may go on.
    admitted: BTreeSet<SoftwareVersion>,
}

impl ServiceVersions {
    /// Takes over which versions the directory has. If it may be out of date, an absence that it
    /// shows does not count. `lifetime` is the longest time for which a stream goes on.
    pub(super) fn observe(
        &mut self,
        present: &BTreeSet<SoftwareVersion>,
        is_up_to_date: bool,
        lifetime: Duration,
        now: Instant,
    ) {
        self.record_up_to_date(is_up_to_date, now);
        self.record_left_unnamed(present, lifetime, now);
        self.present_since.retain(|version, _| present.contains(version));
        for version in present {
            self.present_since.entry(version.clone()).or_insert(now);
            self.absent_since.remove(version);
        }
        let named = self.named.iter().flat_map(BTreeMap::keys);
        for version in named.filter(|version| !present.contains(*version)) {
            let absent_since = self.absent_since.entry(version.clone()).or_insert(now);
            if !is_up_to_date {
                *absent_since = now;
            }
            // hosts may be about to remove the version from the record
            if now.saturating_duration_since(*absent_since) > lifetime / 2 {
                self.admitted.remove(version);
            }
        }
    }

    fn record_up_to_date(&mut self, is_up_to_date: bool, now: Instant) {
        if !is_up_to_date && self.is_up_to_date.is_some() {
            self.settled_at = Some(now + NAMING_TIME);
        }
        // a host that starts has missed nothing
        if is_up_to_date || self.is_up_to_date.is_some() {
            self.is_up_to_date = Some(is_up_to_date);
        }
    }

    /// Remembers versions that leave before the record names them, for as long as their streams may go on.
    fn record_left_unnamed(
        &mut self,
        present: &BTreeSet<SoftwareVersion>,
        lifetime: Duration,
        now: Instant,
    ) {
        let long_present: Vec<SoftwareVersion> = self.long_present(now).cloned().collect();
        for version in long_present {
            if !present.contains(&version) && !self.is_named(&version) {
                self.left_unnamed.insert(version, now);
            }
        }
        self.left_unnamed.retain(|version, left_at| {
            !present.contains(version) && now.saturating_duration_since(*left_at) <= lifetime
        });
    }

    fn is_named(&self, version: &SoftwareVersion) -> bool {
        self.named.as_ref().is_some_and(|named| named.contains_key(version))
    }

    /// Takes over the newest record in the store.
    pub(super) fn apply_record(
        &mut self,
        record: Option<&VersionRecord>,
        is_first: bool,
        at: SystemTime,
    ) {
        let versions = record.map(|record| record.versions.iter());
        self.named = versions.map(|versions| {
            versions.map(|named| (named.version.clone(), named.named_at)).collect()
        });
        let Some(named) = &self.named else { return };
        for (version, named_at) in named {
            if is_first || age(*named_at, at) <= RECENT_NAMING {
                self.admitted.insert(version.clone());
            }
        }
        self.admitted.retain(|version| named.contains_key(version));
        self.absent_since.retain(|version, _| named.contains_key(version));
        self.left_unnamed.retain(|version, _| !named.contains_key(version));
    }

    /// The record to write: with versions that have appeared, and without those at which no stream
    /// can go on any more. `None` if the newest record may stay.
    pub(super) fn proposal(
        &self,
        service: &Rc<str>,
        lifetime: Duration,
        now: Instant,
        at: SystemTime,
    ) -> Option<VersionRecord> {
        let mut versions = self.named.clone().unwrap_or_default();
        for version in self.unnamed() {
            versions.insert(version.clone(), at);
        }
        versions.retain(|version, named_at| {
            !self.has_ended(version, lifetime, now) || age(*named_at, at) <= lifetime
        });
        let versions = versions
            .into_iter()
            .map(|(version, named_at)| NamedVersion { version, named_at })
            .collect();
        let record = VersionRecord { service: service.clone(), versions };
        let is_change = self.unnamed().next().is_some()
            || self.named.as_ref().is_some_and(|named| named.len() != record.versions.len());
        is_change.then_some(record)
    }

    /// Versions in service, or with streams that may go on, that the record does not name; and those of
    /// which hosts may be about to remove the name.
    fn unnamed(&self) -> impl Iterator<Item = &SoftwareVersion> {
        let in_service = self.present_since.keys();
        let in_service = in_service
            .filter(|version| !self.is_named(version) || !self.admitted.contains(*version));
        in_service.chain(self.left_unnamed.keys())
    }

    /// Whether no stream that began at this version can go on, while another one serves.
    fn has_ended(&self, version: &SoftwareVersion, lifetime: Duration, now: Instant) -> bool {
        let absent_since = self.absent_since.get(version);
        !self.present_since.is_empty()
            && absent_since.is_some_and(|since| now.saturating_duration_since(*since) > lifetime)
    }

    /// The versions at which a stream may have begun.
    pub(super) fn possible(&self) -> BTreeSet<&SoftwareVersion> {
        let in_service = self.present_since.keys().chain(self.left_unnamed.keys());
        in_service.chain(self.named.iter().flat_map(BTreeMap::keys)).collect()
    }

    /// The only version at which a stream may have begun: a record and the directory name no other. Not if
    /// the directory may lack a version that the record does not name yet.
    pub(super) fn only(&self, now: Instant) -> Option<&SoftwareVersion> {
        let possible = self.possible();
        let is_settled = self.settled_at.is_none_or(|at| at <= now);
        let is_current = self.is_up_to_date == Some(true) && is_settled;
        let is_only = self.named.is_some() && is_current && possible.len() == 1;
        is_only.then(|| possible.first().copied()).flatten()
    }

    /// The versions at which a stream that may be taken up can begin now. Without a record, no other
    /// version has served than those that have just joined.
    pub(super) fn versions_to_begin(&self, now: Instant) -> AllowedVersions {
        if self.named.is_none() && self.present_since.len() <= 1 {
            return AllowedVersions::Any;
        }
        AllowedVersions::AnyOf(
            self.admitted.iter().chain(self.long_present(now)).map(|v| version_hash(v)).collect(),
        )
    }

    /// The versions that have been in service for so long that they must have been named.
    pub(super) fn long_present(&self, now: Instant) -> impl Iterator<Item = &SoftwareVersion> {
        let is_long =
            move |since: &Instant| now.saturating_duration_since(*since) >= UNNAMED_VERSION_DELAY;
        self.present_since
            .iter()
            .filter(move |(_, since)| is_long(since))
            .map(|(version, _)| version)
    }
}

/// Time since `earlier`; zero if a clock that is ahead wrote it.
fn age(earlier: SystemTime, now: SystemTime) -> Duration {
    now.duration_since(earlier).unwrap_or_default()
}
