use {
    super::OrderError,
    crate::metrics::Metrics,
    mango_wire::platform::OrderKind,
    prometheus_client::metrics::{counter::Counter, family::Family, gauge::Gauge},
};

type OrderLabels = [(&'static str, String); 2];
type MoveLabels = [(&'static str, &'static str); 1];

/// Metrics of the orders and KV moves that this host carries out.
#[derive(Clone)]
pub(crate) struct OrderMetrics {
    orders: Family<OrderLabels, Counter>,
    pub(crate) loads_in_progress: Gauge,
    kv_moves: Family<MoveLabels, Counter>,
    pub(crate) kv_moved_tokens: Counter,
}

impl OrderMetrics {
    pub(crate) fn register(metrics: &Metrics) -> Self {
        let help = "Orders sent to engines by kind and result";
        let loads =
            "Loads from the weight store that this host has ordered and that have not ended";
        let moves = "Chats whose KV cache was to be moved, by result";
        Self {
            orders: metrics.register("orders", help, Family::default()),
            loads_in_progress: metrics.register("order_loads_in_progress", loads, Gauge::default()),
            kv_moves: metrics.register("kv_moves", moves, Family::default()),
            kv_moved_tokens: metrics.register(
                "kv_moved_tokens",
                "Tokens of KV cache imported into engines",
                Counter::default(),
            ),
        }
    }

    pub(crate) fn record_order(&self, kind: OrderKind, error: Option<&OrderError>) {
        let result = error.map_or("done", OrderError::result_label).to_owned();
        self.orders.get_or_create(&[("kind", kind.to_string()), ("result", result)]).inc();
    }

    pub(crate) fn record_kv_move(&self, result: &'static str) {
        self.kv_moves.get_or_create(&[("result", result)]).inc();
    }
}
