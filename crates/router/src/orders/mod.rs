mod desired_item;
mod engine_authority;
mod engine_order_state;
mod kv_move_cost_model;
mod load_limiter;
mod load_ticket;
mod order_error;
mod order_metrics;
mod order_sender;
mod order_service;
mod order_target;
mod retry_backoff;
#[cfg(test)]
mod tests;

pub(crate) use {
    desired_item::DesiredItem,
    engine_authority::EngineAuthority,
    engine_order_state::EngineOrderState,
    kv_move_cost_model::KvMoveCostModel,
    load_limiter::LoadLimiter,
    load_ticket::{LoadTicket, TicketRefusal},
    order_error::OrderError,
    order_metrics::OrderMetrics,
    order_sender::OrderSender,
    order_service::OrderService,
    order_target::OrderTarget,
    retry_backoff::RetryBackoff,
};
