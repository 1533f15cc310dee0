use {
    super::{part_key::PartKey, part_record::PartRecord},
    std::{collections::HashMap, time::Instant},
};

/// Most parts that are kept.
const MAX_RECORDS: usize = 1_024;

/// Records of the parts that were in requests when endpoints crashed, bounded in number.
#[derive(Debug, Default)]
pub(super) struct PartRecords(HashMap<PartKey, PartRecord>);

impl PartRecords {
    pub(super) fn get(&self, part: PartKey) -> Option<&PartRecord> {
        self.0.get(&part)
    }

    pub(super) fn get_mut(&mut self, part: PartKey) -> Option<&mut PartRecord> {
        self.0.get_mut(&part)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (PartKey, &PartRecord)> {
        self.0.iter().map(|(part, record)| (*part, record))
    }

    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = (PartKey, &mut PartRecord)> {
        self.0.iter_mut().map(|(part, record)| (*part, record))
    }

    /// The record of a part. A new one replaces the least valuable if there are too many.
    pub(super) fn get_or_add(
        &mut self,
        part: PartKey,
        depth: u32,
        now: Instant,
    ) -> &mut PartRecord {
        if self.0.len() >= MAX_RECORDS && !self.0.contains_key(&part) {
            let least = self.0.iter().min_by_key(|(_, record)| record.value());
            if let Some(least) = least.map(|(part, _)| *part) {
                self.0.remove(&least);
            }
        }
        self.0.entry(part).or_insert_with(|| PartRecord::new(depth, now))
    }

    /// Removes what no longer counts.
    pub(super) fn expire(&mut self, now: Instant) {
        self.0.retain(|_, record| record.expire(now));
    }
}
