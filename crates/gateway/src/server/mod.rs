mod gateway;
mod listeners;
mod run;
mod side_server;
mod stop_state;

pub(crate) use gateway::Gateway;
pub use run::{PlatformAccess, run};
