mod host_info;
mod live_view;
mod member_table;
mod membership;
mod registrar;

pub(crate) use {host_info::HostInfo, membership::Membership};
