mod handle;
mod host_info;
mod live_view;
mod member_table;
mod registrar;
#[cfg(test)]
mod tests;

pub(crate) use {handle::Membership, host_info::HostInfo, registrar::unix_ms};
