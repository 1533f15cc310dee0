mod candidate;
mod choose;

pub use {
    candidate::{Candidate, PlacementRequest},
    choose::choose_endpoint,
};
