use {
    super::{owner::Owner, resource_id::ResourceId},
    mango_wire::{
        Epoch, Offset,
        records::{Outage, Release, Seen, Take},
    },
    std::collections::HashMap,
};

/// Owners of all resources, as defined by the records of the stream `fleet`.
/// All hosts apply the same records in the same order, so they compute the same owners.
pub(crate) struct FleetState {
    /// Time for which the log keeps a record.
    retention_ms: u64,
    entries: HashMap<ResourceId, Entry>,
    /// Append time of the newest record applied, by the log's clock.
    newest_at_ms: u64,
    newest_outage: Option<Outage>,
}

struct Entry {
    owner: Option<Owner>,
    /// Newest epoch, kept after a release.
    epoch: Epoch,
    /// Append time of the newest record of the resource, by the log's clock.
    at_ms: u64,
}

/// A resource that a Take record has transferred.
pub(crate) struct TakenResource {
    pub(crate) resource: ResourceId,
    /// Whether the previous owner released the resource, so that the new owner need not
    /// wait for the previous owner's lease to end.
    pub(crate) released: bool,
    /// Whether the resource was taken over from an owner that had not released it.
    pub(crate) had_owner: bool,
}

impl FleetState {
    pub(crate) fn new(retention_ms: u64) -> Self {
        Self { retention_ms, entries: HashMap::new(), newest_at_ms: 0, newest_outage: None }
    }

    /// Removes all owners because records were missed. Owners renew their records before the
    /// log expires them, so the records that the log still keeps name all owners again.
    pub(crate) fn reset(&mut self) {
        self.entries.clear();
    }

    /// Applies a Take and returns the resources that got a new owner. A renewal returns none.
    pub(crate) fn apply_take(
        &mut self,
        take: &Take,
        offset: Offset,
        at_ms: u64,
    ) -> Vec<TakenResource> {
        self.newest_at_ms = self.newest_at_ms.max(at_ms);
        if take.renew {
            for seen in &take.resources {
                self.apply_renewal(take, seen, at_ms);
            }
            return Vec::new();
        }
        take.resources
            .iter()
            .filter_map(|seen| self.take_resource(take, seen, offset, at_ms))
            .collect()
    }

    /// Takes one resource if the Take names its current epoch; otherwise the Take is void.
    fn take_resource(
        &mut self,
        take: &Take,
        seen: &Seen,
        offset: Offset,
        at_ms: u64,
    ) -> Option<TakenResource> {
        let resource = ResourceId::from(seen.resource.as_str());
        if self.owner_epoch(&resource, at_ms) != seen.epoch {
            return None;
        }
        let released = self
            .entries
            .get(&resource)
            .is_some_and(|entry| entry.owner.is_none() && !self.is_expired(entry, at_ms));
        let owner = owner_from(take, offset);
        self.entries.insert(resource.clone(), Entry { owner: Some(owner), epoch: offset, at_ms });
        Some(TakenResource { resource, released, had_owner: seen.epoch != 0 })
    }

    /// Applies the renewal of one resource. It makes the renewing host the owner even if this
    /// host never read the Take, which the log may have expired.
    fn apply_renewal(&mut self, take: &Take, seen: &Seen, at_ms: u64) {
        let owner = owner_from(take, seen.epoch);
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

    /// Applies a Release and returns the resources that were released.
    pub(crate) fn apply_release(&mut self, release: &Release, at_ms: u64) -> Vec<ResourceId> {
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

    pub(crate) fn apply_outage(&mut self, outage: &Outage, at_ms: u64) {
        self.newest_at_ms = self.newest_at_ms.max(at_ms);
        if self.newest_outage.as_ref().is_none_or(|known| outage.ended_ms > known.ended_ms) {
            self.newest_outage = Some(outage.clone());
        }
    }

    /// Recorded outage with the latest end.
    pub(crate) fn newest_outage(&self) -> Option<&Outage> {
        self.newest_outage.as_ref()
    }

    /// Owner of a resource by the newest records.
    pub(crate) fn owner(&self, resource: &ResourceId) -> Option<&Owner> {
        let entry = self.entries.get(resource)?;
        entry.owner.as_ref().filter(|_| !self.is_expired(entry, self.newest_at_ms))
    }

    /// Owners of all resources by the newest records, also of records that have expired.
    pub(crate) fn owners(&self) -> impl Iterator<Item = (&ResourceId, &Owner)> {
        self.entries.iter().filter_map(|(resource, entry)| Some((resource, entry.owner.as_ref()?)))
    }

    /// Epoch of the resource's owner at the time `at_ms`; 0 if it has none.
    fn owner_epoch(&self, resource: &ResourceId, at_ms: u64) -> Epoch {
        self.entries
            .get(resource)
            .filter(|entry| !self.is_expired(entry, at_ms))
            .and_then(|entry| entry.owner.as_ref())
            .map_or(0, |owner| owner.epoch)
    }

    /// Whether the log no longer keeps the entry's newest record. A host that starts now
    /// can't read the record, so the other hosts must ignore the entry too.
    fn is_expired(&self, entry: &Entry, at_ms: u64) -> bool {
        at_ms > entry.at_ms.saturating_add(self.retention_ms)
    }
}

fn owner_from(take: &Take, epoch: Epoch) -> Owner {
    Owner { host_id: take.host_id.clone(), identity: take.identity.clone(), epoch }
}
