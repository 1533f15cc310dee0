mod controller;
mod fleet_sink;
mod fleet_state;
mod handle;
mod lease_clock;
mod outage_prober;
mod owner;
mod ownership_metrics;
mod ownership_mode;
mod ranked_hosts;
mod resource_id;
mod shared;
#[cfg(test)]
mod tests;

pub(crate) use {
    handle::Ownership, owner::Owner, ownership_mode::OwnershipMode, resource_id::ResourceId,
};
