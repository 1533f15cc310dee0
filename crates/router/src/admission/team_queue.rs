use {
    super::pending_request::PendingRequest,
    mango_wire::config::WorkClass,
    std::{collections::BTreeMap, time::Instant},
};

/// Lowest cost of a request in the fair queue, in tokens. It covers the prompt and
/// keeps the number of rounds small.
const MIN_COST_TOKENS: u32 = 16;

/// Class, deadline and sequence number of a request.
type SortKey = (WorkClass, Instant, u64);

/// Waiting requests of one team, ordered by class and deadline. Long work has a
/// queue of its own, because it may have to wait while later short work may run.
#[derive(Debug)]
pub(crate) struct TeamQueue<R> {
    pub(crate) weight: f64,
    /// Tokens that the team may still use in this round.
    pub(crate) deficit: f64,
    short: BTreeMap<SortKey, PendingRequest<R>>,
    long: BTreeMap<SortKey, PendingRequest<R>>,
}

impl<R> TeamQueue<R> {
    pub(crate) fn new(weight: f64) -> Self {
        Self { weight, deficit: 0.0, short: BTreeMap::new(), long: BTreeMap::new() }
    }

    pub(crate) fn len(&self) -> usize {
        self.short.len() + self.long.len()
    }

    pub(crate) fn push(&mut self, sequence: u64, pending: PendingRequest<R>) {
        let sort_key = (pending.class, pending.deadline, sequence);
        let requests = if pending.long { &mut self.long } else { &mut self.short };
        requests.insert(sort_key, pending);
    }

    /// Sort key of the first eligible request, whether it is long, and its cost.
    /// Only the first short and the first long request are considered.
    pub(crate) fn first_eligible(
        &self,
        eligible: &impl Fn(&PendingRequest<R>) -> bool,
    ) -> Option<(SortKey, bool, f64)> {
        let first = |requests: &BTreeMap<SortKey, PendingRequest<R>>| {
            let (sort_key, pending) = requests.first_key_value()?;
            eligible(pending).then(|| (*sort_key, pending.long, cost(pending)))
        };
        let (short, long) = (first(&self.short), first(&self.long));
        match (short, long) {
            (Some(a), Some(b)) => Some(if a.0 <= b.0 { a } else { b }),
            (a, b) => a.or(b),
        }
    }

    pub(crate) fn remove(&mut self, sort_key: &SortKey, long: bool) -> Option<PendingRequest<R>> {
        if long { self.long.remove(sort_key) } else { self.short.remove(sort_key) }
    }

    /// Removes the least urgent request.
    pub(crate) fn pop_least_urgent(&mut self) -> Option<PendingRequest<R>> {
        let last = |requests: &BTreeMap<SortKey, PendingRequest<R>>| {
            requests.last_key_value().map(|(k, _)| *k)
        };
        if last(&self.long) >= last(&self.short) {
            self.long.pop_last().map(|(_, pending)| pending)
        } else {
            self.short.pop_last().map(|(_, pending)| pending)
        }
    }

    /// Moves the requests that `select` returns true for to `removed`.
    pub(crate) fn extract(
        &mut self,
        select: &impl Fn(&PendingRequest<R>) -> bool,
        removed: &mut Vec<PendingRequest<R>>,
    ) {
        for requests in [&mut self.short, &mut self.long] {
            removed.extend(
                requests.extract_if(.., |_, pending| select(pending)).map(|(_, pending)| pending),
            );
        }
    }

    /// Cost of the first request; the lowest cost if the queue is empty.
    pub(crate) fn next_cost(&self) -> f64 {
        self.first_eligible(&|_| true).map_or(f64::from(MIN_COST_TOKENS), |(_, _, cost)| cost)
    }

    /// Number of requests ahead of one with this class and deadline.
    pub(crate) fn count_ahead(&self, class: WorkClass, deadline: Instant) -> usize {
        let end = (class, deadline, u64::MAX);
        self.short.range(..end).count() + self.long.range(..end).count()
    }
}

/// Cost of a request in tokens.
pub(crate) fn cost<R>(pending: &PendingRequest<R>) -> f64 {
    f64::from(pending.expected_tokens.max(MIN_COST_TOKENS))
}
