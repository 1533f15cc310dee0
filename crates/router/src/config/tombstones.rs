use {
    mango_config::ObjectName,
    std::collections::{BTreeMap, BTreeSet},
};

/// Deleted objects with the versions of their deletes, which are kept to reject an
/// older change that would restore an object. Above `MAX` entries the oldest are
/// dropped; the limit is fixed so that all routers drop the same ones.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tombstones {
    by_name: BTreeMap<ObjectName, u64>,
    by_version: BTreeSet<(u64, ObjectName)>,
    floor: u64,
}

impl Tombstones {
    /// Maximum number of retained deletes. At 3,700 single-object changes a day
    /// this covers four days, longer than the retention of the log.
    pub(crate) const MAX: usize = 16_384;

    /// Version at which an object was deleted, if the tombstone is retained.
    pub(crate) fn version(&self, name: &ObjectName) -> Option<u64> {
        self.by_name.get(name).copied()
    }

    /// Highest version among the deletes that were dropped, 0 if none was.
    pub(crate) fn floor(&self) -> u64 {
        self.floor
    }

    pub(crate) fn raise_floor(&mut self, floor: u64) {
        self.floor = self.floor.max(floor);
    }

    pub(crate) fn insert(&mut self, name: ObjectName, version: u64) {
        self.remove(&name);
        self.by_version.insert((version, name.clone()));
        self.by_name.insert(name, version);
        while self.by_name.len() > Self::MAX {
            let Some((version, oldest)) = self.by_version.pop_first() else { return };
            self.by_name.remove(&oldest);
            self.raise_floor(version);
        }
    }

    pub(crate) fn remove(&mut self, name: &ObjectName) {
        if let Some(version) = self.by_name.remove(name) {
            self.by_version.remove(&(version, name.clone()));
        }
    }

    /// All retained deletes, ordered by object name.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&ObjectName, u64)> {
        self.by_name.iter().map(|(name, version)| (name, *version))
    }
}
