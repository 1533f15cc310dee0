mod engine_authority;
mod load_pacer;
mod load_ticket;
mod order_error;
mod order_sender;
mod order_target;
#[cfg(test)]
mod tests;

pub(crate) use {
    engine_authority::EngineAuthority,
    load_pacer::LoadPacer,
    load_ticket::{LoadRefusal, LoadTicket},
    order_error::OrderError,
    order_sender::OrderSender,
    order_target::OrderTarget,
};
