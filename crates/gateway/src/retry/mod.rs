mod budget;
mod rule;
#[cfg(test)]
mod tests;

pub use {
    budget::RetryBudget,
    rule::{AttemptHistory, NextStep, RetryRule, SendOutcome, next_step},
};
