use {
    super::permit::Permit,
    std::{
        collections::{HashMap, VecDeque},
        time::Instant,
    },
};

/// Freed permits that are kept in case their requests run after all.
const MAX_FREED_PERMITS: usize = 32;

/// Permits of one engine. Their number is the engine's load.
#[derive(Debug, Default)]
pub(crate) struct PermitTable {
    permits: HashMap<u64, Permit>,
    long_in_flight: u32,
    freed: VecDeque<(u64, Permit)>,
}

impl PermitTable {
    pub(crate) fn in_flight(&self) -> u32 {
        self.permits.len() as u32
    }

    pub(crate) fn long_in_flight(&self) -> u32 {
        self.long_in_flight
    }

    pub(crate) fn insert(&mut self, id: u64, permit: Permit) {
        self.long_in_flight += u32::from(permit.long);
        if let Some(old) = self.permits.insert(id, permit) {
            self.long_in_flight -= u32::from(old.long);
        }
    }

    pub(crate) fn remove(&mut self, id: u64) -> Option<Permit> {
        let permit = self.permits.remove(&id)?;
        self.long_in_flight -= u32::from(permit.long);
        Some(permit)
    }

    pub(crate) fn get_mut(&mut self, id: u64) -> Option<&mut Permit> {
        self.permits.get_mut(&id)
    }

    pub(crate) fn values(&self) -> impl Iterator<Item = &Permit> {
        self.permits.values()
    }

    pub(crate) fn values_mut(&mut self) -> impl Iterator<Item = &mut Permit> {
        self.permits.values_mut()
    }

    /// Marks a permit as long. Returns false if it is unknown or was long already.
    pub(crate) fn mark_long(&mut self, id: u64) -> bool {
        let Some(permit) = self.permits.get_mut(&id).filter(|p| !p.long) else { return false };
        permit.long = true;
        self.long_in_flight += 1;
        true
    }

    /// Number of a request's permit, unless its use was confirmed.
    pub(crate) fn find_unused(&self, origin: u64, request: u64) -> Option<u64> {
        let matches = |p: &Permit| p.origin == origin && p.request == request && !p.in_use;
        self.permits.iter().find(|(_, p)| matches(p)).map(|(id, _)| *id)
    }

    /// Frees the permits whose `free_at` has passed, and returns them.
    pub(crate) fn free_expired(&mut self, now: Instant) -> Vec<Permit> {
        let is_expired = |p: &Permit| p.free_at.is_some_and(|at| at <= now);
        let expired: Vec<u64> =
            self.permits.iter().filter(|(_, p)| is_expired(p)).map(|(id, _)| *id).collect();
        expired.into_iter().filter_map(|id| self.free(id)).collect()
    }

    fn free(&mut self, id: u64) -> Option<Permit> {
        let permit = self.remove(id)?;
        if self.freed.len() == MAX_FREED_PERMITS {
            self.freed.pop_front();
        }
        self.freed.push_back((id, permit.clone()));
        Some(permit)
    }

    /// Restores a freed permit whose request turned out to run. Returns false if
    /// there is no such permit.
    pub(crate) fn reinstate(&mut self, id: u64) -> bool {
        let Some(at) = self.freed.iter().position(|(freed, _)| *freed == id) else { return false };
        let Some((id, mut permit)) = self.freed.remove(at) else { return false };
        permit.free_at = None;
        self.insert(id, permit);
        true
    }

    /// Drops a freed permit whose request has ended.
    pub(crate) fn forget_freed(&mut self, id: u64) {
        self.freed.retain(|(freed, _)| *freed != id);
    }

    /// Keeps the permits that `keep` returns true for, and returns how many were
    /// removed.
    pub(crate) fn retain(&mut self, mut keep: impl FnMut(u64, &mut Permit) -> bool) -> usize {
        let before = self.permits.len();
        self.permits.retain(|id, permit| keep(*id, permit));
        self.long_in_flight = self.permits.values().filter(|p| p.long).count() as u32;
        before - self.permits.len()
    }

    /// Prepares for a new epoch: keeps only the permits re-registered for it, since
    /// releases of the others may have gone to another owner.
    pub(crate) fn start_epoch(&mut self, reregistered_after: Instant) {
        self.freed.clear();
        self.retain(|_, p| p.reregistered_at.take().is_some_and(|at| at >= reregistered_after));
    }
}
