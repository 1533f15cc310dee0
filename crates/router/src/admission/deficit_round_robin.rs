use {
    super::{
        pending_request::PendingRequest,
        team_queue::{TeamQueue, cost},
    },
    mango_wire::TeamKey,
    std::collections::{HashMap, VecDeque},
};

/// Tokens that a team of weight 1 may use in one round; equal to the cost of the
/// shortest request. With 64, each team ran several short requests in a row, and a
/// team with a single request waited for all of them. Many small rounds cost no
/// time, because several are credited at once.
const QUANTUM_TOKENS: f64 = 16.0;
/// Lowest weight of a team. With a weight of 0, its deficit would never cover a
/// request.
const MIN_WEIGHT: f64 = 0.01;

/// Weighted deficit round-robin scheduler over teams.
#[derive(Debug)]
pub(crate) struct DeficitRoundRobin<R> {
    teams: HashMap<TeamKey, TeamQueue<R>>,
    /// Teams with waiting requests, in the order of their turns.
    order: VecDeque<TeamKey>,
    len: usize,
}

impl<R> DeficitRoundRobin<R> {
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

    pub(crate) fn push(&mut self, sequence: u64, pending: PendingRequest<R>) {
        let weight = pending.team_weight.max(MIN_WEIGHT);
        let team = self.teams.entry(pending.team).or_insert_with(|| {
            self.order.push_back(pending.team);
            TeamQueue::new(weight)
        });
        team.weight = weight;
        team.push(sequence, pending);
        self.len += 1;
    }

    /// Removes the next eligible request. The rounds that would pass before any
    /// team's deficit covers its request are credited at once.
    pub(crate) fn pop(
        &mut self,
        eligible: &impl Fn(&PendingRequest<R>) -> bool,
    ) -> Option<PendingRequest<R>> {
        let mut best: Option<(f64, usize)> = None;
        for (position, key) in self.order.iter().enumerate() {
            let team = &self.teams[key];
            let Some((_, _, cost)) = team.first_eligible(eligible) else { continue };
            let rounds = ((cost - team.deficit) / quantum(team)).ceil().max(0.0);
            if best.is_none_or(|(fewest, _)| rounds < fewest) {
                best = Some((rounds, position));
            }
        }
        let (rounds, position) = best?;
        if rounds > 0.0 {
            self.credit_rounds(rounds, eligible);
        }
        self.order.rotate_left(position);
        self.take_front(eligible)
    }

    /// Credits rounds to the teams with an eligible request. The other teams
    /// accumulate no credit for later.
    fn credit_rounds(&mut self, rounds: f64, eligible: &impl Fn(&PendingRequest<R>) -> bool) {
        for team in self.teams.values_mut() {
            if team.first_eligible(eligible).is_some() {
                team.deficit += rounds * quantum(team);
            }
        }
    }

    fn take_front(
        &mut self,
        eligible: &impl Fn(&PendingRequest<R>) -> bool,
    ) -> Option<PendingRequest<R>> {
        let key = *self.order.front()?;
        let team = self.teams.get_mut(&key)?;
        let (sort_key, long, cost) = team.first_eligible(eligible)?;
        team.deficit -= cost;
        let pending = team.remove(&sort_key, long)?;
        self.len -= 1;
        let next_cost = team.first_eligible(eligible).map(|(_, _, cost)| cost);
        if team.len() == 0 {
            self.remove_team(key);
        } else if next_cost.is_none_or(|cost| cost > team.deficit) {
            self.order.rotate_left(1);
        }
        Some(pending)
    }

    /// Removes the least urgent request of the team with the largest backlog per weight.
    pub(crate) fn evict(&mut self) -> Option<PendingRequest<R>> {
        let backlog = |team: &TeamQueue<R>| team.len() as f64 / team.weight;
        let largest = |a: &(&TeamKey, &TeamQueue<R>), b: &(&TeamKey, &TeamQueue<R>)| {
            backlog(a.1).total_cmp(&backlog(b.1)).then(a.0.cmp(b.0))
        };
        let key = *self.teams.iter().max_by(largest)?.0;
        let team = self.teams.get_mut(&key)?;
        let pending = team.pop_least_urgent()?;
        self.len -= 1;
        if team.len() == 0 {
            self.remove_team(key);
        }
        Some(pending)
    }

    /// Removes the requests that `select` returns true for.
    pub(crate) fn extract(
        &mut self,
        select: &impl Fn(&PendingRequest<R>) -> bool,
    ) -> Vec<PendingRequest<R>> {
        let mut removed = Vec::new();
        if self.len == 0 {
            return removed;
        }
        for team in self.teams.values_mut() {
            team.extract(select, &mut removed);
        }
        self.len -= removed.len();
        self.teams.retain(|_, team| team.len() > 0);
        self.order.retain(|key| self.teams.contains_key(key));
        removed
    }

    /// Estimated number of requests that run before a new one: those of its own
    /// team, and those that other teams may run in the rounds that its own team
    /// needs.
    pub(crate) fn estimate_ahead(&self, pending: &PendingRequest<R>) -> f64 {
        let own = self.teams.get(&pending.team);
        let ahead = own.map_or(0, |team| team.count_ahead(pending.class, pending.deadline)) as f64;
        let deficit = own.map_or(0.0, |team| team.deficit);
        let needed = (ahead + 1.0) * cost(pending) - deficit;
        let own_quantum = QUANTUM_TOKENS * pending.team_weight.max(MIN_WEIGHT);
        let rounds = (needed / own_quantum).ceil().max(0.0);
        let taken = |team: &TeamQueue<R>| {
            let credit = team.deficit + rounds * quantum(team);
            (credit / team.next_cost()).ceil().clamp(0.0, team.len() as f64)
        };
        let others = self.teams.iter().filter(|(key, _)| **key != pending.team);
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
