use std::{collections::BTreeMap, sync::Arc};

// A change copies one shard: about 94 entries with 24,000 teams.
const SHARDS: usize = 256;

/// Object with an id and a truncated key of that id.
pub(crate) trait Keyed {
    /// Key of the id.
    fn key(&self) -> u32;
    /// Id.
    fn id(&self) -> &str;
    /// Version of the change that wrote the object.
    fn version(&self) -> u64;
}

/// Map by key whose copies share all shards that were not changed.
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

    /// The object at `key`, if it has this id and not another with the same key.
    pub(crate) fn get_id(&self, key: u32, id: &str) -> Option<&Arc<V>> {
        self.get(key).filter(|value| value.id() == id)
    }

    /// All objects in a fixed order.
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
