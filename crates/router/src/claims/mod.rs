mod claim_id;
mod claim_metrics;
mod claim_options;
mod claim_service;
mod command;
mod key_error;
mod range_authority;
mod range_ownership;
mod range_state;
mod range_writer;
#[cfg(test)]
mod tests;
mod uncertainty;
mod wall_clock;

pub(crate) use {
    claim_id::key_issued_at_ms,
    claim_options::ClaimOptions,
    claim_service::ClaimService,
    key_error::KeyError,
    range_authority::RangeAuthority,
    wall_clock::{SystemClock, WallClock},
};
