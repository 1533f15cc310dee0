mod direction;
mod fault_proxy;
mod proxy_faults;
mod proxy_link;

pub use {direction::Direction, fault_proxy::FaultProxy};
pub(crate) use {proxy_faults::ProxyFaults, proxy_link::ProxyLink};
