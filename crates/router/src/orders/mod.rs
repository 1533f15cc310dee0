mod desired_item;
mod engine_authority;
mod engine_orders;
mod handle;
mod kv_cost;
mod load_pacer;
mod load_ticket;
mod order_error;
mod order_metrics;
mod order_sender;
mod order_target;

mod retry_pause;
#[cfg(test)]
mod tests;

pub(crate) use {
    desired_item::DesiredItem,
    engine_authority::EngineAuthority,
    engine_orders::EngineOrders,
    handle::Orders,
    kv_cost::KvCost,
    load_pacer::LoadPacer,
    load_ticket::{LoadRefusal, LoadTicket},
    order_error::OrderError,
    order_metrics::OrderMetrics,
    order_sender::OrderSender,
    order_target::OrderTarget,
    retry_pause::RetryPause,
};
