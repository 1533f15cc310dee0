//! Records which endpoints hold the cache of a prompt's prefix.
//!
//! Load pattern: endpoints crash, are replaced and added while prompts share long prefixes.
//! The ranking of the endpoints for a prefix then changes. Without the table, a request would
//! go to an endpoint that has to process the prefix again although another one still holds it.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

/// A cached prefix that was not used for this long may have been evicted.
const CACHE_LIFETIME: Duration = Duration::from_secs(12);
/// Shortest interval between two announcements to the other hosts that the same endpoint holds
/// the same prefix.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(4);

/// Endpoints to which any host recently sent requests with a prefix, by prefix hash.
#[derive(Debug, Default)]
pub(crate) struct PrefixTable {
    holders: HashMap<u64, Vec<Holder>>,
}

/// An endpoint that holds the cache of a prefix.
#[derive(Clone, Copy, Debug)]
struct Holder {
    /// Hash of the endpoint's ID.
    endpoint: u32,
    /// When any host last sent the prefix to the endpoint, as far as this host knows.
    used_at: Instant,
    /// When any host last announced that the endpoint holds the prefix.
    announced_at: Instant,
}

impl PrefixTable {
    /// Records a use by this host. Returns whether it is to be announced to the other hosts.
    pub(crate) fn record_local_use(&mut self, prefix: u64, endpoint: u32, now: Instant) -> bool {
        let holders = self.holders.entry(prefix).or_default();
        let Some(holder) = holders.iter_mut().find(|holder| holder.endpoint == endpoint) else {
            holders.push(Holder { endpoint, used_at: now, announced_at: now });
            return true;
        };
        holder.used_at = now;
        let is_due = now.saturating_duration_since(holder.announced_at) >= ANNOUNCE_INTERVAL;
        if is_due {
            holder.announced_at = now;
        }
        is_due
    }

    /// Records a use that another host announced, so that this host need not announce it.
    pub(crate) fn record_peer_use(&mut self, prefix: u64, endpoint: u32, now: Instant) {
        let holders = self.holders.entry(prefix).or_default();
        match holders.iter_mut().find(|holder| holder.endpoint == endpoint) {
            Some(holder) => {
                holder.used_at = now;
                holder.announced_at = now;
            }
            None => holders.push(Holder { endpoint, used_at: now, announced_at: now }),
        }
    }

    /// Whether the endpoint's cache probably still holds the prefix.
    pub(crate) fn holds(&self, prefix: u64, endpoint: u32, now: Instant) -> bool {
        let Some(holders) = self.holders.get(&prefix) else { return false };
        holders.iter().any(|holder| holder.endpoint == endpoint && holder.is_cached(now))
    }

    /// Removes the endpoints that may have evicted the prefix from their caches.
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
