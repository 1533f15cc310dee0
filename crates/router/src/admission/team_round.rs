use {
    super::{
        queued::Queued,
        team_queue::{TeamQueue, cost},
    },
    mango_wire::TeamKey,
    std::collections::{HashMap, VecDeque},
};

/// Tokens that a team of weight 1 may take in one round; the cost of the shortest
/// request. With 64, each team ran several short requests in a row, and a team with a
/// single request waited for all of them. Rounds are credited at once, so that many
/// small ones cost no time.
const QUANTUM_TOKENS: f64 = 16.0;
/// A weight of 0 would need endless rounds.
const MIN_WEIGHT: f64 = 0.01;

/// Weighted deficit round robin over teams.
#[derive(Debug)]
pub(crate) struct TeamRound<R> {
    teams: HashMap<TeamKey, TeamQueue<R>>,
    /// Teams with waiting requests, next in the round first.
    order: VecDeque<TeamKey>,
    len: usize,
}

impl<R> TeamRound<R> {
    pub(crate) fn new() -> Self {
        Self { teams: HashMap::new(), order: VecDeque::new(), len: 0 }
    }

    pub(crate) fn len(&self) -> usize {
        self.len
    }

    pub(crate) fn team_lens(&self) -> impl Iterator<Item = (TeamKey, usize)> {
        self.teams.iter().map(|(key, team)| (*key, team.len()))
    }

    pub(crate) fn has_backlog(&self, team: TeamKey) -> bool {
        self.teams.contains_key(&team)
    }

    pub(crate) fn push(&mut self, number: u64, queued: Queued<R>) {
        let weight = queued.team_weight.max(MIN_WEIGHT);
        let team = self.teams.entry(queued.team).or_insert_with(|| {
            self.order.push_back(queued.team);
            TeamQueue::new(weight)
        });
        team.weight = weight;
        team.push(number, queued);
        self.len += 1;
    }

    /// Takes the next request that `eligible` lets run. The rounds that would pass
    /// before any team can afford its request are credited at once.
    pub(crate) fn pop(&mut self, eligible: &impl Fn(&Queued<R>) -> bool) -> Option<Queued<R>> {
        let mut best: Option<(f64, usize)> = None;
        for (position, key) in self.order.iter().enumerate() {
            let team = &self.teams[key];
            let Some((_, _, cost)) = team.head(eligible) else { continue };
            let rounds = ((cost - team.deficit) / quantum(team)).ceil().max(0.0);
            if best.is_none_or(|(fewest, _)| rounds < fewest) {
                best = Some((rounds, position));
            }
        }
        let (rounds, position) = best?;
        if rounds > 0.0 {
            self.credit(rounds, eligible);
        }
        self.order.rotate_left(position);
        self.take_front(eligible)
    }

    /// Teams whose work may not run now save no credit for later.
    fn credit(&mut self, rounds: f64, eligible: &impl Fn(&Queued<R>) -> bool) {
        for team in self.teams.values_mut() {
            if team.head(eligible).is_some() {
                team.deficit += rounds * quantum(team);
            }
        }
    }

    fn take_front(&mut self, eligible: &impl Fn(&Queued<R>) -> bool) -> Option<Queued<R>> {
        let key = *self.order.front()?;
        let team = self.teams.get_mut(&key)?;
        let (order, long, cost) = team.head(eligible)?;
        team.deficit -= cost;
        let queued = team.take(&order, long)?;
        self.len -= 1;
        let next_cost = team.head(eligible).map(|(_, _, cost)| cost);
        if team.len() == 0 {
            self.remove_team(key);
        } else if next_cost.is_none_or(|cost| cost > team.deficit) {
            self.order.rotate_left(1);
        }
        Some(queued)
    }

    /// Removes the least urgent request of the team with the largest backlog per weight.
    pub(crate) fn evict(&mut self) -> Option<Queued<R>> {
        let backlog = |team: &TeamQueue<R>| team.len() as f64 / team.weight;
        let largest = |a: &(&TeamKey, &TeamQueue<R>), b: &(&TeamKey, &TeamQueue<R>)| {
            backlog(a.1).total_cmp(&backlog(b.1)).then(a.0.cmp(b.0))
        };
        let key = *self.teams.iter().max_by(largest)?.0;
        let team = self.teams.get_mut(&key)?;
        let queued = team.pop_last()?;
        self.len -= 1;
        if team.len() == 0 {
            self.remove_team(key);
        }
        Some(queued)
    }

    /// Removes what `select` selects.
    pub(crate) fn extract(&mut self, select: &impl Fn(&Queued<R>) -> bool) -> Vec<Queued<R>> {
        let mut out = Vec::new();
        if self.len == 0 {
            return out;
        }
        for team in self.teams.values_mut() {
            team.extract(select, &mut out);
        }
        self.len -= out.len();
        self.teams.retain(|_, team| team.len() > 0);
        self.order.retain(|key| self.teams.contains_key(key));
        out
    }

    /// Requests that run before a new one: its own team's, and those that the other
    /// teams may take in the rounds that its own team needs.
    pub(crate) fn ahead_of(&self, queued: &Queued<R>) -> f64 {
        let own = self.teams.get(&queued.team);
        let ahead = own.map_or(0, |team| team.ahead_of(queued.class, queued.deadline)) as f64;
        let deficit = own.map_or(0.0, |team| team.deficit);
        let needed = (ahead + 1.0) * cost(queued) - deficit;
        let quantum_of_own = QUANTUM_TOKENS * queued.team_weight.max(MIN_WEIGHT);
        let rounds = (needed / quantum_of_own).ceil().max(0.0);
        let taken = |team: &TeamQueue<R>| {
            let credit = team.deficit + rounds * quantum(team);
            (credit / team.next_cost()).ceil().clamp(0.0, team.len() as f64)
        };
        let others = self.teams.iter().filter(|(key, _)| **key != queued.team);
        ahead + others.map(|(_, team)| taken(team)).sum::<f64>()
    }

    fn remove_team(&mut self, key: TeamKey) {
        self.teams.remove(&key);
        self.order.retain(|k| *k != key);
    }
}

fn quantum<R>(team: &TeamQueue<R>) -> f64 {
    QUANTUM_TOKENS * team.weight
}
