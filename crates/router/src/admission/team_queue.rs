use {
    super::queued::Queued,
    mango_wire::config::WorkClass,
    std::{collections::BTreeMap, time::Instant},
};

/// Lowest cost of a request in the fair queue, in tokens. It covers the prompt and
/// keeps the number of rounds small.
const MIN_COST_TOKENS: u32 = 16;

type Order = (WorkClass, Instant, u64);

/// Requests of one team in the order of class and deadline. Long work is kept apart,
/// because it may have to wait while short work behind it may run.
#[derive(Debug)]
pub(crate) struct TeamQueue<R> {
    pub(crate) weight: f64,
    /// Tokens of service that the team may still take in this round.
    pub(crate) deficit: f64,
    short: BTreeMap<Order, Queued<R>>,
    long: BTreeMap<Order, Queued<R>>,
}

impl<R> TeamQueue<R> {
    pub(crate) fn new(weight: f64) -> Self {
        Self { weight, deficit: 0.0, short: BTreeMap::new(), long: BTreeMap::new() }
    }

    pub(crate) fn len(&self) -> usize {
        self.short.len() + self.long.len()
    }

    pub(crate) fn push(&mut self, number: u64, queued: Queued<R>) {
        let order = (queued.class, queued.deadline, number);
        let lane = if queued.long { &mut self.long } else { &mut self.short };
        lane.insert(order, queued);
    }

    /// First request that `eligible` lets run, with its cost.
    pub(crate) fn head(
        &self,
        eligible: &impl Fn(&Queued<R>) -> bool,
    ) -> Option<(Order, bool, f64)> {
        let first = |lane: &BTreeMap<Order, Queued<R>>| {
            let (order, queued) = lane.first_key_value()?;
            eligible(queued).then(|| (*order, queued.long, cost(queued)))
        };
        let (short, long) = (first(&self.short), first(&self.long));
        match (short, long) {
            (Some(a), Some(b)) => Some(if a.0 <= b.0 { a } else { b }),
            (a, b) => a.or(b),
        }
    }

    pub(crate) fn take(&mut self, order: &Order, long: bool) -> Option<Queued<R>> {
        if long { self.long.remove(order) } else { self.short.remove(order) }
    }

    /// Removes the request that is least urgent.
    pub(crate) fn pop_last(&mut self) -> Option<Queued<R>> {
        let last = |lane: &BTreeMap<Order, Queued<R>>| lane.last_key_value().map(|(k, _)| *k);
        if last(&self.long) >= last(&self.short) {
            self.long.pop_last().map(|(_, queued)| queued)
        } else {
            self.short.pop_last().map(|(_, queued)| queued)
        }
    }

    /// Removes what `select` selects.
    pub(crate) fn extract(
        &mut self,
        select: &impl Fn(&Queued<R>) -> bool,
        out: &mut Vec<Queued<R>>,
    ) {
        for lane in [&mut self.short, &mut self.long] {
            out.extend(lane.extract_if(.., |_, queued| select(queued)).map(|(_, queued)| queued));
        }
    }

    /// Cost of the request that is due first.
    pub(crate) fn next_cost(&self) -> f64 {
        self.head(&|_| true).map_or(f64::from(MIN_COST_TOKENS), |(_, _, cost)| cost)
    }

    /// Requests ahead of one with this class and deadline.
    pub(crate) fn ahead_of(&self, class: WorkClass, deadline: Instant) -> usize {
        let end = (class, deadline, u64::MAX);
        self.short.range(..end).count() + self.long.range(..end).count()
    }
}

/// Cost of a request in tokens.
pub(crate) fn cost<R>(queued: &Queued<R>) -> f64 {
    f64::from(queued.expected_tokens.max(MIN_COST_TOKENS))
}
