use {
    super::part_key::{PartKey, TeamHash},
    std::time::{Duration, Instant},
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// How long all requests with a part are refused at level 0; it doubles with each level.
const BLOCK_TIME: Duration = Duration::from_secs(4);
const MAX_LEVEL: u32 = 7;
/// Time of a round of the probation; in each round, twice as many hosts send a request.
const ROUND_TIME: Duration = Duration::from_secs(2);
/// Rounds after which a part is forgotten that nobody asks for.
const MAX_ROUNDS: u32 = 60;

/// A decision to refuse the requests with a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Block {
    /// The last crash for which the part is blamed. It lasts for a while after that.
    pub(super) last_crash_at: Instant,
    /// How strong the evidence is. It rises with each crash in the probation.
    pub(super) level: u32,
    /// The only team whose requests are refused; `None` for all teams.
    pub(super) team: Option<TeamHash>,
}

/// What a block means for a request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(super) enum BlockPhase {
    /// All requests are refused.
    Closed { until: Instant },
    /// A few hosts send one request each in this round, to find out whether the part still
    /// crashes endpoints.
    Probation { round: u32, until: Instant },
    /// Nobody asked for the part in all rounds.
    Over,
}

impl Block {
    pub(super) fn applies_to(&self, team: TeamHash) -> bool {
        self.team.is_none_or(|only| only == team)
    }

    pub(super) fn phase(&self, now: Instant) -> BlockPhase {
        let closed_until = self.last_crash_at + BLOCK_TIME * 2_u32.pow(self.level.min(MAX_LEVEL));
        if now < closed_until {
            return BlockPhase::Closed { until: closed_until };
        }
        let round = ((now - closed_until).as_millis() / ROUND_TIME.as_millis()) as u32;
        if round >= MAX_ROUNDS {
            return BlockPhase::Over;
        }
        BlockPhase::Probation { round, until: closed_until + ROUND_TIME * (round + 1) }
    }

    /// The stronger of two decisions about a part that hosts made independently.
    pub(super) fn merge(self, other: Block) -> Block {
        let team = if self.team == other.team { self.team } else { None };
        Block {
            last_crash_at: self.last_crash_at.max(other.last_crash_at),
            level: self.level.max(other.level),
            team,
        }
    }
}

impl BlockPhase {
    /// When the phase ends, or a round of it; `None` if it is over.
    pub(super) fn until(self) -> Option<Instant> {
        match self {
            BlockPhase::Closed { until } | BlockPhase::Probation { until, .. } => Some(until),
            BlockPhase::Over => None,
        }
    }
}

/// Whether a host may send a request in a round of the probation. On average one host may in the
/// first round, two in the second and so on, without an agreement between them.
pub(super) fn may_probe(part: PartKey, round: u32, host_hash: u64, fleet_hosts: u32) -> bool {
    let draw = xxh3_64_with_seed(&part.to_le_bytes(), host_hash.wrapping_add(round.into()));
    let wanted_hosts = 2_f64.powi(round as i32);
    (draw as f64) < u64::MAX as f64 * wanted_hosts / f64::from(fleet_hosts.max(1))
}
