//! Orders waiting requests by priority, and those of one priority by fair shares of the teams.
//!
//! Load pattern: one team sends many times its usual traffic. In order of arrival, the requests
//! of all other teams would wait behind its backlog. Each team's requests get increasing tags,
//! one apart, starting at the tag that was served last: teams take turns, and a team that sends
//! more only waits longer itself.
use std::{
    collections::{BTreeMap, HashMap},
    rc::Rc,
};

pub(crate) type Team = Option<Rc<str>>;

/// Place of an entry in the queue: the lowest is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Position {
    priority: u8,
    /// Turn of the team in which the entry is served.
    turn: u64,
    /// Number of the entry in order of arrival.
    number: u64,
}

/// Queue with one turn a team, by priority.
#[derive(Debug)]
pub(crate) struct FairQueue<T> {
    entries: BTreeMap<Position, T>,
    /// The turn that was served last, and the next free turn of each team, by priority.
    turns: HashMap<u8, Turns>,
    next_number: u64,
}

#[derive(Debug, Default)]
struct Turns {
    served: u64,
    next: HashMap<Team, u64>,
}

impl<T> Default for FairQueue<T> {
    fn default() -> FairQueue<T> {
        FairQueue { entries: BTreeMap::new(), turns: HashMap::new(), next_number: 0 }
    }
}

impl<T> FairQueue<T> {
    pub(crate) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// The position that a new entry of the team would get.
    pub(crate) fn next_position(&self, priority: u8, team: &Team) -> Position {
        let turn = self.turns.get(&priority).map_or(0, |turns| turns.next_turn(team));
        Position { priority, turn, number: self.next_number }
    }

    /// Number of entries that are served before a position.
    pub(crate) fn count_before(&self, position: Position) -> usize {
        self.entries.range(..position).count()
    }

    pub(crate) fn push(&mut self, priority: u8, team: Team, entry: T) -> Position {
        let position = self.next_position(priority, &team);
        self.turns.entry(priority).or_default().next.insert(team, position.turn + 1);
        self.next_number += 1;
        self.entries.insert(position, entry);
        position
    }

    /// Removes the entry that is served next.
    pub(crate) fn pop(&mut self) -> Option<T> {
        let (position, entry) = self.entries.pop_first()?;
        self.turns.entry(position.priority).or_default().served = position.turn;
        self.forget_turns_if_empty();
        Some(entry)
    }

    /// Removes an entry that no longer waits.
    pub(crate) fn remove(&mut self, position: Position) -> Option<T> {
        let entry = self.entries.remove(&position);
        self.forget_turns_if_empty();
        entry
    }

    fn forget_turns_if_empty(&mut self) {
        if self.entries.is_empty() {
            self.turns.clear();
        }
    }
}

impl Turns {
    fn next_turn(&self, team: &Team) -> u64 {
        self.next.get(team).copied().unwrap_or(0).max(self.served)
    }
}
