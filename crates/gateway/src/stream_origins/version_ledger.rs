use {
    super::{
        allowed_versions::AllowedVersions,
        service_versions::ServiceVersions,
        version_hash::{VersionHash, version_hash},
        version_record::{SoftwareVersion, VersionListing, VersionRecord},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        rc::Rc,
        time::{Duration, Instant, SystemTime},
    },
};

/// Versions of the endpoints in the directory, by service.
pub(crate) type PresentVersions = BTreeMap<Rc<str>, BTreeSet<SoftwareVersion>>;

/// The software versions of all services at which streams may have begun.
#[derive(Default)]
pub(crate) struct VersionLedger {
    services: BTreeMap<Rc<str>, ServiceVersions>,
    /// Whether the records in the store were read.
    is_listed: bool,
}

impl VersionLedger {
    /// Takes over which versions the directory has; see `ServiceVersions::observe`.
    pub(crate) fn observe(
        &mut self,
        present: &PresentVersions,
        is_up_to_date: bool,
        lifetime: Duration,
        now: Instant,
    ) {
        for service in present.keys() {
            self.services.entry(service.clone()).or_default();
        }
        let none = BTreeSet::new();
        for (service, versions) in &mut self.services {
            let present = present.get(service).unwrap_or(&none);
            versions.observe(present, is_up_to_date, lifetime, now);
        }
    }

    /// Takes over the newest records in the store.
    pub(crate) fn apply_listing(&mut self, listing: &VersionListing, at: SystemTime) {
        let is_first = !self.is_listed;
        self.is_listed = true;
        for record in &listing.records {
            self.services.entry(record.service.clone()).or_default();
        }
        for (service, versions) in &mut self.services {
            let record = listing.records.iter().find(|record| record.service == *service);
            versions.apply_record(record, is_first, at);
        }
    }

    /// Takes over records that this host has appended.
    pub(crate) fn apply_appended(&mut self, records: &[VersionRecord], at: SystemTime) {
        for record in records {
            let versions = self.services.entry(record.service.clone()).or_default();
            versions.apply_record(Some(record), false, at);
        }
    }

    /// The records that are to be written.
    pub(crate) fn proposals(
        &self,
        lifetime: Duration,
        now: Instant,
        at: SystemTime,
    ) -> Vec<VersionRecord> {
        let services = self.services.iter();
        services
            .filter_map(|(service, versions)| versions.proposal(service, lifetime, now, at))
            .collect()
    }

    pub(crate) fn is_listed(&self) -> bool {
        self.is_listed
    }

    /// The versions of a service at which a stream may have begun.
    pub(crate) fn possible(&self, service: &str) -> Vec<SoftwareVersion> {
        let versions = self.services.get(service);
        versions.map(|v| v.possible().into_iter().cloned().collect()).unwrap_or_default()
    }

    pub(crate) fn has_several(&self, service: &str) -> bool {
        self.services.get(service).is_some_and(|versions| versions.possible().len() > 1)
    }

    pub(crate) fn any_has_several(&self) -> bool {
        self.services.values().any(|versions| versions.possible().len() > 1)
    }

    /// The version at which every stream of a service began; `None` if several are possible.
    pub(crate) fn only(&self, service: &str, now: Instant) -> Option<VersionHash> {
        let only = self.services.get(service).and_then(|versions| versions.only(now));
        only.map(|version| version_hash(version))
    }

    /// The versions of a service at which a stream that may be taken up can begin now.
    pub(crate) fn versions_to_begin(&self, service: &str, now: Instant) -> AllowedVersions {
        match self.services.get(service) {
            Some(versions) if self.is_listed => versions.versions_to_begin(now),
            None if self.is_listed => AllowedVersions::Any,
            // until the record is read, it may name none of the versions in the directory
            Some(versions) => AllowedVersions::AnyOf(
                versions.long_present(now).map(|v| version_hash(v)).collect(),
            ),
            None => AllowedVersions::AnyOf(Vec::new()),
        }
    }

    /// The versions of each service at which streams may have begun.
    pub(crate) fn all_possible(&self) -> BTreeMap<Rc<str>, Vec<SoftwareVersion>> {
        let services = self.services.keys();
        services.map(|service| (service.clone(), self.possible(service))).collect()
    }
}
