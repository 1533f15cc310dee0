use {
    super::permit::Permit,
    std::{
        collections::{HashMap, VecDeque},
        time::Instant,
    },
};

/// Permits freed as unused that are remembered, in case their requests run after all.
const FREED_MAX: usize = 32;

/// Permits of one engine. Their number is the engine's load.
#[derive(Debug, Default)]
pub(crate) struct PermitTable {
    permits: HashMap<u64, Permit>,
    long: u32,
    freed: VecDeque<(u64, Permit)>,
}

impl PermitTable {
    pub(crate) fn in_flight(&self) -> u32 {
        self.permits.len() as u32
    }

    pub(crate) fn long_in_flight(&self) -> u32 {
        self.long
    }

    pub(crate) fn insert(&mut self, id: u64, permit: Permit) {
        self.long += u32::from(permit.long);
        if let Some(old) = self.permits.insert(id, permit) {
            self.long -= u32::from(old.long);
        }
    }

    pub(crate) fn remove(&mut self, id: u64) -> Option<Permit> {
        let permit = self.permits.remove(&id)?;
        self.long -= u32::from(permit.long);
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

    /// Counts a permit as long from now on. Returns false if it was already.
    pub(crate) fn mark_long(&mut self, id: u64) -> bool {
        let Some(permit) = self.permits.get_mut(&id).filter(|p| !p.long) else { return false };
        permit.long = true;
        self.long += 1;
        true
    }

    /// Permit of a request that never confirmed its use.
    pub(crate) fn unused_of(&self, origin: u64, request: u64) -> Option<u64> {
        let is_it = |p: &Permit| p.origin == origin && p.request == request && !p.in_use;
        self.permits.iter().find(|(_, p)| is_it(p)).map(|(id, _)| *id)
    }

    /// Frees the permits that are due and returns them.
    pub(crate) fn free_due(&mut self, now: Instant) -> Vec<Permit> {
        let is_due = |p: &Permit| p.free_at.is_some_and(|at| at <= now);
        let due: Vec<u64> =
            self.permits.iter().filter(|(_, p)| is_due(p)).map(|(id, _)| *id).collect();
        due.into_iter().filter_map(|id| self.free(id)).collect()
    }

    fn free(&mut self, id: u64) -> Option<Permit> {
        let permit = self.remove(id)?;
        if self.freed.len() == FREED_MAX {
            self.freed.pop_front();
        }
        self.freed.push_back((id, permit.clone()));
        Some(permit)
    }

    /// Counts a freed permit again, because its request turned out to run.
    pub(crate) fn reinstate(&mut self, id: u64) -> bool {
        let Some(at) = self.freed.iter().position(|(freed, _)| *freed == id) else { return false };
        let Some((id, mut permit)) = self.freed.remove(at) else { return false };
        permit.free_at = None;
        self.insert(id, permit);
        true
    }

    /// Forgets a freed permit whose request has ended.
    pub(crate) fn forget_freed(&mut self, id: u64) {
        self.freed.retain(|(freed, _)| *freed != id);
    }

    /// Keeps what `keep` selects and returns how many permits went.
    pub(crate) fn retain(&mut self, mut keep: impl FnMut(u64, &mut Permit) -> bool) -> usize {
        let before = self.permits.len();
        self.permits.retain(|id, permit| keep(*id, permit));
        self.long = self.permits.values().filter(|p| p.long).count() as u32;
        before - self.permits.len()
    }

    /// Prepares for a new epoch: keeps only permits re-registered for it, since
    /// releases of the others may have gone to another owner.
    pub(crate) fn start_epoch(&mut self, reregistered_after: Instant) {
        self.freed.clear();
        self.retain(|_, p| p.reregistered_at.take().is_some_and(|at| at >= reregistered_after));
    }
}
