mod candidate;
mod choose;
mod prefix_table;
#[cfg(test)]
mod tests;

pub(crate) use prefix_table::PrefixTable;
pub use {
    candidate::{Candidate, Placement, PlacementRequest},
    choose::choose_endpoint,
};
