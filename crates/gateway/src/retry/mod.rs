mod budget;
#[cfg(test)]
mod fleet_tests;
mod policy;
#[cfg(test)]
mod tests;

pub use {
    budget::RetryBudget,
    policy::{AttemptHistory, NextStep, RetryPolicy, SendOutcome, next_step},
};
