mod candidate;
mod choose;

pub use {
    candidate::{Candidate, Placement, PlacementRequest},
    choose::choose_endpoint,
};
