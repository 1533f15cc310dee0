//! Merges of what other hosts report, whatever that is.

use {
    super::{
        block::Block, crash::Crash, part_blocklist::PartBlocklist, part_key::PartKey,
        part_record::PartRecord,
    },
    proptest::{collection::vec, option, prelude::*},
    std::time::{Duration, Instant},
};

/// Ages that reports may have, in milliseconds.
const AGES_MS: std::ops::Range<u64> = 0..400_000;

/// A report by the ages of its events.
#[derive(Clone, Debug)]
struct Report {
    part: PartKey,
    depth: u32,
    /// Endpoint, team and age of each crash.
    crashes: Vec<(u32, u32, u64)>,
    sound_age_ms: Option<u64>,
    /// Age, level and team of a block.
    block: Option<(u64, u32, Option<u32>)>,
}

impl Report {
    fn record(&self, now: Instant) -> PartRecord {
        let before = |age_ms| now.checked_sub(Duration::from_millis(age_ms)).unwrap_or(now);
        let crash = |(endpoint, team, age_ms): &(u32, u32, u64)| Crash {
            endpoint: *endpoint,
            team: *team,
            at: before(*age_ms),
        };
        let block = |(age_ms, level, team)| Block { last_crash_at: before(age_ms), level, team };
        PartRecord {
            depth: self.depth,
            crashes: self.crashes.iter().map(crash).collect(),
            sound_at: self.sound_age_ms.map(before),
            block: self.block.map(block),
            changed_at: now,
        }
    }
}

fn reports() -> impl Strategy<Value = Vec<Report>> {
    let crash = (0..6_u32, 0..3_u32, AGES_MS);
    let block = (AGES_MS, any::<u32>(), option::of(0..3_u32));
    let report =
        (0..5_u64, any::<u32>(), vec(crash, 0..90), option::of(AGES_MS), option::of(block));
    let to_report = |(part, depth, crashes, sound_age_ms, block)| Report {
        part,
        depth,
        crashes,
        sound_age_ms,
        block,
    };
    vec(report.prop_map(to_report), 1..12)
}

proptest! {
    /// Guards against reports that end the process or fill its memory, and against reports that
    /// change what is known each time they arrive.
    #[test]
    fn any_reports_can_be_merged(reports in reports()) {
        let now = Instant::now();
        let later = now + Duration::from_millis(100);
        let mut list = PartBlocklist::default();
        for report in &reports {
            list.merge(report.part, &report.record(now), now);
        }
        let crashes = |list: &PartBlocklist| -> Vec<(PartKey, usize, Instant)> {
            let mut known: Vec<_> = list
                .records()
                .iter()
                .map(|(part, record)| (part, record.crashes.len(), record.changed_at))
                .collect();
            known.sort_unstable();
            known
        };
        list.decide(now);
        let known: Vec<(PartKey, PartRecord)> =
            list.records().iter().map(|(part, record)| (part, record.clone())).collect();
        let before = crashes(&list);
        for (part, record) in &known {
            list.merge(*part, record, later);
        }
        prop_assert_eq!(crashes(&list), before, "known reports are news");
        for (_, record) in list.records().iter() {
            prop_assert!(record.crashes.len() <= 64);
            prop_assert!(record.crashes.is_sorted_by_key(|crash| crash.at));
        }
        let _ = list.admit(&[0, 1, 2, 3, 4], 1, 7, 12, later);
        list.decide(later + Duration::from_secs(3_600));
        prop_assert_eq!(list.records().iter().count(), 0);
    }
}
