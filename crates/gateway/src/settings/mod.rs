mod gateway_settings;
mod load;
mod overload_settings;
#[cfg(test)]
mod tests;

pub(crate) use overload_settings::OverloadPolicy;
pub use {
    gateway_settings::{Bounds, GatewaySettings},
    load::load_settings,
    overload_settings::{Activation, OverloadSettings},
};
