mod budget;
mod rule;

pub use {
    budget::RetryBudget,
    rule::{AttemptHistory, NextStep, RetryRule, SendOutcome, next_step},
};
