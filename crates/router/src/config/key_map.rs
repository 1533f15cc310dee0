use std::{collections::BTreeMap, sync::Arc};

// With 24,000 teams a shard holds about 94 entries; a change copies one shard.
const SHARDS: usize = 256;

/// Configuration object that is stored in a `KeyMap`.
pub(crate) trait Keyed {
    /// 32-bit key derived from the id.
    fn key(&self) -> u32;
    /// Id, which is compared in full because keys may collide.
    fn id(&self) -> &str;
    /// Configuration version at which the object was last written.
    fn version(&self) -> u64;
}

/// Sharded copy-on-write map by key. Clones share every shard that neither has
/// modified since.
pub(crate) struct KeyMap<V> {
    shards: Vec<Arc<BTreeMap<u32, Arc<V>>>>,
    len: usize,
}

impl<V> Clone for KeyMap<V> {
    fn clone(&self) -> Self {
        Self { shards: self.shards.clone(), len: self.len }
    }
}

impl<V> Default for KeyMap<V> {
    fn default() -> Self {
        let empty = Arc::new(BTreeMap::new());
        Self { shards: vec![empty; SHARDS], len: 0 }
    }
}

impl<V: Keyed> KeyMap<V> {
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    pub(crate) fn get(&self, key: u32) -> Option<&Arc<V>> {
        self.shards[shard_of(key)].get(&key)
    }

    /// The object at `key`, or `None` if an object with another id has this key.
    pub(crate) fn get_id(&self, key: u32, id: &str) -> Option<&Arc<V>> {
        self.get(key).filter(|value| value.id() == id)
    }

    /// All objects, in an order that depends only on their keys.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Arc<V>> {
        self.shards.iter().flat_map(|shard| shard.values())
    }

    pub(crate) fn insert(&mut self, value: Arc<V>) {
        let key = value.key();
        if self.shard_mut(key).insert(key, value).is_none() {
            self.len += 1;
        }
    }

    pub(crate) fn remove(&mut self, key: u32) -> Option<Arc<V>> {
        let removed = self.shard_mut(key).remove(&key);
        self.len -= usize::from(removed.is_some());
        removed
    }

    fn shard_mut(&mut self, key: u32) -> &mut BTreeMap<u32, Arc<V>> {
        Arc::make_mut(&mut self.shards[shard_of(key)])
    }
}

fn shard_of(key: u32) -> usize {
    key as usize % SHARDS
}
