use {
    super::compiled::Config,
    mango_wire::{
        Offset,
        config::{ConfigRecord, DeletedObject, Snapshot, VersionedObject},
    },
    serde::Serialize,
    std::collections::BTreeMap,
};

// Limits the part count that is accepted from a record, which may be malformed.
const MAX_PARTS: u32 = 4096;
// Allowance for the JSON fields of a part other than its objects and deletes.
const PART_OVERHEAD_BYTES: usize = 512;

/// The configuration as a single-part snapshot that covers all records up to
/// and including `offset`.
pub(crate) fn whole_snapshot(config: &Config, offset: Offset) -> Snapshot {
    let deleted = config.deleted();
    Snapshot {
        deleted: deleted
            .iter()
            .map(|(name, version)| DeletedObject { key: name.to_key(), version })
            .collect(),
        deleted_floor: deleted.floor(),
        objects: config.objects(),
        offset,
        part: 0,
        parts: 1,
        version: config.version(),
    }
}

/// Splits a snapshot into record bodies of at most `max_bytes` bytes each.
pub(crate) fn snapshot_records(
    config: &Config,
    offset: Offset,
    max_bytes: usize,
) -> Result<Vec<String>, String> {
    let whole = whole_snapshot(config, offset);
    let budget = max_bytes.saturating_sub(PART_OVERHEAD_BYTES);
    let objects = split(whole.objects, budget)?;
    let deleted = split(whole.deleted, budget)?;
    let mut contents: Vec<(Vec<VersionedObject>, Vec<DeletedObject>)> =
        objects.into_iter().map(|objects| (objects, Vec::new())).collect();
    contents.extend(deleted.into_iter().map(|deleted| (Vec::new(), deleted)));
    if contents.is_empty() {
        contents.push((Vec::new(), Vec::new()));
    }
    let parts = contents.len() as u32;
    let record = |(part, (objects, deleted)): (usize, _)| {
        let part = part as u32;
        let snapshot = Snapshot {
            deleted,
            deleted_floor: whole.deleted_floor,
            objects,
            offset,
            part,
            parts,
            version: whole.version,
        };
        canonical_json(&ConfigRecord::Snapshot(snapshot))
    };
    contents.into_iter().enumerate().map(record).collect()
}

/// Groups consecutive items so that the JSON of each group has at most `budget`
/// bytes.
fn split<T: Serialize>(items: Vec<T>, budget: usize) -> Result<Vec<Vec<T>>, String> {
    let mut groups: Vec<Vec<T>> = Vec::new();
    let mut used = budget;
    for item in items {
        let bytes = serde_json::to_string(&item).map_err(|e| e.to_string())?.len() + 1;
        if bytes > budget {
            return Err(format!(
                "an object of {bytes} bytes exceeds the limit of {budget} bytes in a record"
            ));
        }
        if used + bytes > budget {
            groups.push(Vec::new());
            used = 0;
        }
        used += bytes;
        if let Some(group) = groups.last_mut() {
            group.push(item);
        }
    }
    Ok(groups)
}

/// JSON with sorted fields, so that equal values give equal text on all hosts.
pub(crate) fn canonical_json<T: Serialize>(value: &T) -> Result<String, String> {
    let mut value = serde_json::to_value(value).map_err(|e| e.to_string())?;
    value.sort_all_objects();
    Ok(value.to_string())
}

/// Compiles a complete snapshot. Also returns the last offset that it covers.
pub(crate) fn compile_snapshot(snapshot: Snapshot) -> Result<(Config, Offset), String> {
    if snapshot.version > snapshot.offset {
        return Err(format!(
            "snapshot of version {} covers only offset {}",
            snapshot.version, snapshot.offset
        ));
    }
    let offset = snapshot.offset;
    let config = Config::from_objects(
        snapshot.version,
        snapshot.objects,
        snapshot.deleted,
        snapshot.deleted_floor,
    )
    .map_err(|rejection| format!("snapshot: {rejection}"))?;
    Ok((config, offset))
}

// Version, offset and part count, which identify a snapshot.
type PartKey = (u64, Offset, u32);

/// Assembles snapshots from their parts.
#[derive(Default)]
pub(crate) struct PartCollector {
    parts: BTreeMap<PartKey, BTreeMap<u32, Snapshot>>,
}

impl PartCollector {
    /// Adds a part. Returns the complete snapshot if this was its last missing
    /// part. Parts with an invalid index or count are ignored.
    pub(crate) fn add(&mut self, part: Snapshot) -> Option<Snapshot> {
        if part.parts == 0 || part.parts > MAX_PARTS || part.part >= part.parts {
            return None;
        }
        let key = (part.version, part.offset, part.parts);
        let received = self.parts.entry(key).or_default();
        received.insert(part.part, part);
        if received.len() < key.2 as usize {
            return None;
        }
        let mut parts = self.parts.remove(&key)?.into_values();
        let mut whole = parts.next()?;
        for part in parts {
            whole.objects.extend(part.objects);
            whole.deleted.extend(part.deleted);
        }
        (whole.part, whole.parts) = (0, 1);
        Some(whole)
    }
}
