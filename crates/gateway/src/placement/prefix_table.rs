//! Remembers which endpoints hold the cache of a prompt's prefix.
//!
//! Load pattern: endpoints crash, are replaced and added while prompts share long
//! prefixes. The order of a prefix then changes, and a request would go to an endpoint
//! that has to read the prefix again though another still holds it.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

/// A cache that was not used for this long may have been evicted.
const CACHE_LIFETIME: Duration = Duration::from_secs(12);
/// A use is told to the other hosts again after this time.
const SHARE_INTERVAL: Duration = Duration::from_secs(4);

/// Uses of prefixes by endpoint, by all hosts.
#[derive(Debug, Default)]
pub(crate) struct PrefixTable {
    holders: HashMap<u64, Vec<Holder>>,
}

#[derive(Clone, Copy, Debug)]
struct Holder {
    endpoint: u32,
    used_at: Instant,
    shared_at: Instant,
}

impl PrefixTable {
    /// Records a use by this host. Returns whether the other hosts are to learn of it.
    pub(crate) fn record_local_use(&mut self, prefix: u64, endpoint: u32, now: Instant) -> bool {
        let holders = self.holders.entry(prefix).or_default();
        let Some(holder) = holders.iter_mut().find(|holder| holder.endpoint == endpoint) else {
            holders.push(Holder { endpoint, used_at: now, shared_at: now });
            return true;
        };
        holder.used_at = now;
        let is_due = now.saturating_duration_since(holder.shared_at) >= SHARE_INTERVAL;
        if is_due {
            holder.shared_at = now;
        }
        is_due
    }

    /// Records a use that another host told.
    pub(crate) fn record_peer_use(&mut self, prefix: u64, endpoint: u32, now: Instant) {
        let holders = self.holders.entry(prefix).or_default();
        match holders.iter_mut().find(|holder| holder.endpoint == endpoint) {
            Some(holder) => {
                holder.used_at = now;
                holder.shared_at = now;
            }
            None => holders.push(Holder { endpoint, used_at: now, shared_at: now }),
        }
    }

    pub(crate) fn holds(&self, prefix: u64, endpoint: u32, now: Instant) -> bool {
        let Some(holders) = self.holders.get(&prefix) else { return false };
        holders.iter().any(|holder| holder.endpoint == endpoint && holder.is_cached(now))
    }

    pub(crate) fn expire(&mut self, now: Instant) {
        self.holders.retain(|_, holders| {
            holders.retain(|holder| holder.is_cached(now));
            !holders.is_empty()
        });
    }
}

impl Holder {
    fn is_cached(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.used_at) < CACHE_LIFETIME
    }
}
