mod gateway_settings;
mod load;

pub use {
    gateway_settings::{Bounds, GatewaySettings},
    load::load_settings,
};
