use {
    mango_config::ObjectName,
    std::collections::{BTreeMap, BTreeSet},
};

/// Deleted objects with the versions of their deletes. The oldest are dropped
/// above a fixed number, so that all routers drop the same ones.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tombstones {
    by_name: BTreeMap<ObjectName, u64>,
    by_version: BTreeSet<(u64, ObjectName)>,
    floor: u64,
}

impl Tombstones {
    /// Deletes remembered. At 3,700 changes a day of one object each this
    /// covers four days, longer than the log keeps records.
    pub(crate) const MAX: usize = 16_384;

    /// Version of the delete of an object, if it is remembered.
    pub(crate) fn version(&self, name: &ObjectName) -> Option<u64> {
        self.by_name.get(name).copied()
    }

    /// Highest version of a delete that was dropped.
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

    /// All remembered deletes, ordered by name.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&ObjectName, u64)> {
        self.by_name.iter().map(|(name, version)| (name, *version))
    }
}
