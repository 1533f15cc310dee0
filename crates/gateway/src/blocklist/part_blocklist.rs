use {
    super::{
        block::{Block, BlockPhase, may_probe},
        crash::{Crash, CrashEvents},
        part_key::{PartKey, TeamHash},
        part_record::PartRecord,
        part_records::PartRecords,
        recent_responses::RecentResponses,
    },
    std::{
        cmp::Reverse,
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// What it takes to block a part for which no response is known.
const NEW_PART_RULE: BlockRule =
    BlockRule { events: 3, settling_time: Duration::from_millis(700), level: 3 };
/// What it takes to block a part that was sound before: all engines that its requests were at may
/// have been lost for another reason.
const SOUND_PART_RULE: BlockRule =
    BlockRule { events: 5, settling_time: Duration::from_millis(1_200), level: 0 };
/// Difference of the time of one crash at two hosts, due to the delay of messages, at most.
const MESSAGE_DELAY: Duration = Duration::from_millis(700);

/// When a part is blocked.
struct BlockRule {
    /// Crashes after which a part is blocked.
    events: usize,
    /// Time after the last of these crashes in which responses that other hosts saw may arrive.
    settling_time: Duration,
    /// Level of the block.
    level: u32,
}

/// A change of what this host believes of a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(super) enum BeliefChange {
    /// Blocked for the first time, or again in its probation.
    Blocked,
    /// Adopted from another host.
    Adopted,
    /// Blocked for all teams after it was for one.
    Widened,
    /// Its endpoints' responses show that it is sound.
    Cleared,
    /// Nobody asked for it during its probation.
    Forgotten,
}

/// Permission to send a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Pass {
    /// The request finds out whether a blocked part still crashes endpoints. It is sent once.
    pub(crate) is_probe: bool,
}

/// A request must not be sent, since this part of its prompt crashes endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct BlockedPart {
    pub(crate) part: PartKey,
    /// When requests with the part may be sent again.
    pub(crate) until: Instant,
}

/// The prompt parts that crash endpoints, or may, according to all hosts.
#[derive(Debug, Default)]
pub(super) struct PartBlocklist {
    records: PartRecords,
    responses: RecentResponses,
    /// Rounds of the probation of a part in which this host sent a request.
    probes: HashMap<PartKey, u32>,
    changes: Vec<(PartKey, BeliefChange)>,
}

impl PartBlocklist {
    pub(super) fn records(&self) -> &PartRecords {
        &self.records
    }

    /// Takes the changes of belief since the last call, in order.
    pub(super) fn take_changes(&mut self) -> Vec<(PartKey, BeliefChange)> {
        std::mem::take(&mut self.changes)
    }

    /// Records a crash of an endpoint that held a request with these parts before it began the
    /// response.
    pub(super) fn record_crash(&mut self, parts: &[PartKey], crash: Crash, now: Instant) {
        for (depth, part) in parts.iter().enumerate() {
            self.add_crash(*part, depth as u32, crash, now);
        }
    }

    fn add_crash(&mut self, part: PartKey, depth: u32, crash: Crash, now: Instant) {
        let last_response = self.responses.last(part);
        if last_response.is_some_and(|at| at >= crash.at) {
            return;
        }
        let record = self.records.get_or_add(part, depth, now);
        record.sound_at = record.sound_at.max(last_response);
        if !record.add_crash(crash, now) {
            return;
        }
        let events = CrashEvents::group(record.crashes.iter());
        let Some(block) = record.block.as_mut() else { return };
        if block.team.is_some_and(|team| !events.all_have(team)) {
            block.team = None;
            self.changes.push((part, BeliefChange::Widened));
        }
        if crash.at > block.last_crash_at {
            if !matches!(block.phase(crash.at), BlockPhase::Closed { .. }) {
                block.level = (block.level + 1).max(NEW_PART_RULE.level);
                self.changes.push((part, BeliefChange::Blocked));
            }
            block.last_crash_at = crash.at;
        }
    }

    /// Records that a response to a request with these parts began, which shows that they are
    /// sound.
    pub(super) fn record_response(&mut self, parts: &[PartKey], now: Instant) {
        for part in parts {
            self.responses.record(*part, now);
            self.add_response(*part, now, now);
        }
    }

    fn add_response(&mut self, part: PartKey, at: Instant, now: Instant) {
        let Some(record) = self.records.get_mut(part) else { return };
        let had_block = record.block.is_some();
        record.add_response(at, now);
        if had_block && record.block.is_none() {
            self.changes.push((part, BeliefChange::Cleared));
        }
    }

    /// Adds what another host knows of a part.
    pub(super) fn merge(&mut self, part: PartKey, other: &PartRecord, now: Instant) {
        if let Some(at) = other.sound_at {
            match self.records.get(part) {
                Some(_) => self.add_response(part, at, now),
                // so that a report of an older crash that is still on its way is not believed
                None => self.responses.record(part, at),
            }
        }
        for crash in &other.crashes {
            self.add_crash(part, other.depth, *crash, now);
        }
        if let Some(at) = self.responses.last(part) {
            self.add_response(part, at, now);
        }
        if let Some(block) = other.block {
            self.adopt_block(part, other.depth, block, now);
        }
    }

    fn adopt_block(&mut self, part: PartKey, depth: u32, block: Block, now: Instant) {
        let last_response = self.responses.last(part);
        let record = self.records.get_or_add(part, depth, now);
        record.sound_at = record.sound_at.max(last_response);
        let is_cleared = record.sound_at.is_some_and(|at| at >= block.last_crash_at);
        if is_cleared || block.phase(now) == BlockPhase::Over {
            return;
        }
        let merged = record.block.map_or(block, |own| own.merge(block));
        if record.block.is_none() {
            self.changes.push((part, BeliefChange::Adopted));
        } else if record.block.is_some_and(|own| own.team != merged.team) {
            self.changes.push((part, BeliefChange::Widened));
        }
        let is_news = record.block.is_none_or(|own| {
            own.team != merged.team
                || own.level != merged.level
                || merged.last_crash_at.saturating_duration_since(own.last_crash_at) > MESSAGE_DELAY
        });
        if is_news {
            record.block = Some(merged);
            record.changed_at = now;
        }
    }

    /// Decides which parts are to blame for the crashes, and forgets what no longer counts.
    pub(super) fn decide(&mut self, now: Instant) {
        self.expire(now);
        let mut candidates: Vec<(PartKey, u32, usize)> = self
            .records
            .iter()
            .filter(|(_, record)| record.block.is_none() && !record.crashes.is_empty())
            .map(|(part, record)| (part, record.depth, record.crashes.len()))
            .collect();
        // the parts before a part that crashes endpoints are in the same requests, and in others
        candidates.sort_unstable_by_key(|(part, depth, crashes)| {
            (Reverse(*depth), Reverse(*crashes), *part)
        });
        let mut explained = self.explained_crashes();
        for (part, ..) in candidates {
            let Some(record) = self.records.get_mut(part) else { continue };
            let events = record.unexplained_events(&explained);
            let rule = if record.sound_at.is_some() { SOUND_PART_RULE } else { NEW_PART_RULE };
            let is_settled = events
                .time_of(rule.events - 1)
                .is_some_and(|at| now.saturating_duration_since(at) >= rule.settling_time);
            if is_settled {
                let last_crash_at = record.crashes.last().map_or(now, |crash| crash.at);
                let (level, team) = (rule.level, events.only_team());
                record.block = Some(Block { last_crash_at, level, team });
                record.changed_at = now;
                explained.extend_from_slice(&record.crashes);
                self.changes.push((part, BeliefChange::Blocked));
            }
        }
    }

    /// Crashes for which a blocked part is to blame.
    fn explained_crashes(&self) -> Vec<Crash> {
        let blocked = self.records.iter().filter(|(_, record)| record.block.is_some());
        blocked.flat_map(|(_, record)| record.crashes.iter().copied()).collect()
    }

    /// Decides whether a request may be sent by this host, which is one of `fleet_hosts`.
    pub(super) fn admit(
        &mut self,
        parts: &[PartKey],
        team: TeamHash,
        host_hash: u64,
        fleet_hosts: u32,
        now: Instant,
    ) -> Result<Pass, BlockedPart> {
        let mut pass = Pass::default();
        for part in parts {
            let Some(phase) = self.refusing_phase(*part, team, now) else { continue };
            if !self.takes_probe(*part, phase, host_hash, fleet_hosts) {
                return Err(BlockedPart { part: *part, until: phase.until().unwrap_or(now) });
            }
            pass.is_probe = true;
        }
        Ok(pass)
    }

    /// Decides whether a request that was admitted may still be sent.
    pub(super) fn recheck(
        &self,
        parts: &[PartKey],
        team: TeamHash,
        now: Instant,
    ) -> Result<(), BlockedPart> {
        for part in parts {
            if let Some(phase) = self.refusing_phase(*part, team, now) {
                return Err(BlockedPart { part: *part, until: phase.until().unwrap_or(now) });
            }
        }
        Ok(())
    }

    /// The phase of the block of a part; `None` if it is not blocked for the team.
    fn refusing_phase(&self, part: PartKey, team: TeamHash, now: Instant) -> Option<BlockPhase> {
        let block = self.records.get(part)?.block?;
        let phase = block.phase(now);
        (block.applies_to(team) && phase != BlockPhase::Over).then_some(phase)
    }

    /// Whether this host sends a request with a blocked part now: one in a round, if it is its
    /// turn.
    fn takes_probe(
        &mut self,
        part: PartKey,
        phase: BlockPhase,
        host_hash: u64,
        fleet_hosts: u32,
    ) -> bool {
        let BlockPhase::Probation { round, .. } = phase else { return false };
        let has_probed = self.probes.get(&part) == Some(&round);
        if has_probed || !may_probe(part, round, host_hash, fleet_hosts) {
            return false;
        }
        self.probes.insert(part, round);
        true
    }

    fn expire(&mut self, now: Instant) {
        self.responses.expire(now);
        for (part, record) in self.records.iter_mut() {
            if record.block.take_if(|block| block.phase(now) == BlockPhase::Over).is_some() {
                self.changes.push((part, BeliefChange::Forgotten));
            }
        }
        self.records.expire(now);
        self.probes.retain(|part, _| self.records.get(*part).is_some());
    }
}
