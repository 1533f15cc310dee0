mod candidate;
mod choose;
#[cfg(test)]
mod tests;

pub use {
    candidate::{Candidate, Placement, PlacementRequest},
    choose::choose_endpoint,
};
