use {
    super::{owner::Owner, resource_id::ResourceId},
    mango_wire::{
        Epoch, Offset,
        records::{Outage, Release, Seen, Take},
    },
    std::collections::HashMap,
};

/// Owners of all resources, as the records of the stream `fleet` define them.
/// All hosts apply the same records in the same order and so agree.
pub(crate) struct FleetState {
    retention_ms: u64,
    entries: HashMap<ResourceId, Entry>,
    newest_at_ms: u64,
    outage: Option<Outage>,
}

struct Entry {
    owner: Option<Owner>,
    /// Newest epoch, also after a release.
    epoch: Epoch,
    /// Append time of the newest record, by the log's clock.
    at_ms: u64,
}

/// A resource that a Take record has transferred.
pub(crate) struct Taken {
    pub(crate) resource: ResourceId,
    /// Whether the owner before gave the resource up by a Release, so that the
    /// new one need not wait for its lease to end.
    pub(crate) released: bool,
    /// Whether another process owned the resource.
    pub(crate) had_owner: bool,
}

impl FleetState {
    pub(crate) fn new(retention_ms: u64) -> Self {
        Self { retention_ms, entries: HashMap::new(), newest_at_ms: 0, outage: None }
    }

    /// Forgets all owners because records were missed. Owners renew their
    /// records before the log expires them, so the kept records name them all.
    pub(crate) fn reset(&mut self) {
        self.entries.clear();
    }

    /// Applies a Take and returns the resources that changed hands.
    pub(crate) fn take(&mut self, take: &Take, offset: Offset, at_ms: u64) -> Vec<Taken> {
        self.newest_at_ms = self.newest_at_ms.max(at_ms);
        if take.renew {
            for seen in &take.resources {
                self.renew(take, seen, at_ms);
            }
            return Vec::new();
        }
        take.resources.iter().filter_map(|seen| self.take_one(take, seen, offset, at_ms)).collect()
    }

    fn take_one(&mut self, take: &Take, seen: &Seen, offset: Offset, at_ms: u64) -> Option<Taken> {
        let resource = ResourceId::from(seen.resource.as_str());
        if self.seen_epoch(&resource, at_ms) != seen.epoch {
            return None;
        }
        let released = self
            .entries
            .get(&resource)
            .is_some_and(|entry| entry.owner.is_none() && !self.is_expired(entry, at_ms));
        let owner = owner_of(take, offset);
        self.entries.insert(resource.clone(), Entry { owner: Some(owner), epoch: offset, at_ms });
        Some(Taken { resource, released, had_owner: seen.epoch != 0 })
    }

    /// A renewal of a Take that this host never read also makes the renewing
    /// host the owner, because the log has expired the Take.
    fn renew(&mut self, take: &Take, seen: &Seen, at_ms: u64) {
        let owner = owner_of(take, seen.epoch);
        let resource = ResourceId::from(seen.resource.as_str());
        let valid = match self.entries.get(&resource) {
            None => seen.epoch > 0,
            Some(entry) => entry.owner.as_ref() == Some(&owner) || seen.epoch > entry.epoch,
        };
        if valid {
            let entry = Entry { owner: Some(owner), epoch: seen.epoch, at_ms };
            self.entries.insert(resource, entry);
        }
    }

    /// Applies a Release and returns the resources that were given up.
    pub(crate) fn release(&mut self, release: &Release, at_ms: u64) -> Vec<ResourceId> {
        self.newest_at_ms = self.newest_at_ms.max(at_ms);
        let mut released = Vec::new();
        for seen in &release.resources {
            let Some((resource, _)) = self.entries.get_key_value(seen.resource.as_str()) else {
                continue;
            };
            let resource = resource.clone();
            let Some(entry) = self.entries.get_mut(&resource) else {
                continue;
            };
            let valid = entry.owner.as_ref().is_some_and(|owner| {
                owner.epoch == seen.epoch && owner.identity == release.identity
            });
            if valid {
                entry.owner = None;
                entry.at_ms = at_ms;
                released.push(resource);
            }
        }
        released
    }

    pub(crate) fn note_outage(&mut self, outage: &Outage, at_ms: u64) {
        self.newest_at_ms = self.newest_at_ms.max(at_ms);
        if self.outage.as_ref().is_none_or(|known| outage.ended_ms > known.ended_ms) {
            self.outage = Some(outage.clone());
        }
    }

    /// The recorded outage that ended last.
    pub(crate) fn newest_outage(&self) -> Option<&Outage> {
        self.outage.as_ref()
    }

    /// Owner by the newest records.
    pub(crate) fn owner(&self, resource: &ResourceId) -> Option<&Owner> {
        let entry = self.entries.get(resource)?;
        entry.owner.as_ref().filter(|_| !self.is_expired(entry, self.newest_at_ms))
    }

    pub(crate) fn owners(&self) -> impl Iterator<Item = (&ResourceId, &Owner)> {
        self.entries.iter().filter_map(|(resource, entry)| Some((resource, entry.owner.as_ref()?)))
    }

    fn seen_epoch(&self, resource: &ResourceId, at_ms: u64) -> Epoch {
        self.entries
            .get(resource)
            .filter(|entry| !self.is_expired(entry, at_ms))
            .and_then(|entry| entry.owner.as_ref())
            .map_or(0, |owner| owner.epoch)
    }

    /// Whether the log no longer keeps the entry's newest record. A host that
    /// starts now does not know the entry, so it must not count for the others.
    fn is_expired(&self, entry: &Entry, at_ms: u64) -> bool {
        at_ms > entry.at_ms.saturating_add(self.retention_ms)
    }
}

fn owner_of(take: &Take, epoch: Epoch) -> Owner {
    Owner { host_id: take.host_id.clone(), identity: take.identity.clone(), epoch }
}
