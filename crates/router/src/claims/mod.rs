mod claim_id;
mod claim_metrics;
mod claim_options;
mod command;
mod handle;
mod key_error;
mod range_authority;
mod range_state;
mod range_writer;
mod term;
#[cfg(test)]
mod tests;
mod uncertainty;
mod wall_clock;

pub(crate) use {
    claim_id::key_issued_at_ms,
    claim_options::ClaimOptions,
    handle::Claims,
    key_error::KeyError,
    range_authority::RangeAuthority,
    wall_clock::{SystemClock, WallClock},
};
