mod explain;
mod gateway;
mod listeners;
mod run;
mod side_server;
mod state_dump;
mod stop_state;

pub(crate) use gateway::Gateway;
pub use run::{PlatformAdapters, run};
