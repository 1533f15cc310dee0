mod explain;
mod gateway;
mod internal_server;
mod listeners;
mod run;
mod state_dump;
mod stop_state;

pub(crate) use gateway::Gateway;
pub use run::{OriginStores, PlatformAdapters, run};
