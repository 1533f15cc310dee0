use {
    super::{link_error::LinkErrorKind, message_kind::MessageKind},
    crate::metrics::Metrics,
    prometheus_client::metrics::{counter::Counter, family::Family, gauge::Gauge},
    std::sync::Arc,
    strum::IntoEnumIterator,
};

type Labels = [(&'static str, &'static str); 1];

/// Metrics of the links between routers.
#[derive(Clone)]
pub(crate) struct PeerMetrics {
    /// Bytes written to sockets, including HTTP/2 framing.
    pub(crate) sent_bytes: Counter,
    /// Bytes read from sockets, including HTTP/2 framing.
    pub(crate) received_bytes: Counter,
    pub(crate) links: Gauge,
    pub(crate) dropped_messages: Counter,
    pub(crate) failed_dials: Counter,
    pub(crate) refused_connections: Counter,
    // one counter per message kind, so that the request path does not lock a `Family`
    sent_bytes_by_kind: Arc<[Counter]>,
    received_bytes_by_kind: Arc<[Counter]>,
    closed_links: Family<Labels, Counter>,
}

impl PeerMetrics {
    pub(crate) fn register(metrics: &Metrics) -> Self {
        let counter = |name, help| metrics.register(name, help, Counter::default());
        Self {
            sent_bytes: counter("peer_sent_bytes", "Bytes written to links, all framing included"),
            received_bytes: counter(
                "peer_received_bytes",
                "Bytes read from links, all framing included",
            ),
            links: metrics.register("peer_links", "Authenticated links", Gauge::default()),
            dropped_messages: counter(
                "peer_dropped_messages",
                "Messages dropped because a send queue was full or a link failed",
            ),
            failed_dials: counter("peer_failed_dials", "Failed attempts to connect to a peer"),
            refused_connections: counter(
                "peer_refused_connections",
                "Connections refused because too many unauthenticated links were open",
            ),
            sent_bytes_by_kind: register_by_kind(
                metrics,
                "peer_sent_message_bytes",
                "Message bytes sent, by kind, without HTTP/2 framing",
            ),
            received_bytes_by_kind: register_by_kind(
                metrics,
                "peer_received_message_bytes",
                "Message bytes received, by kind, without HTTP/2 framing",
            ),
            closed_links: metrics.register(
                "peer_closed_links",
                "Links that closed, by reason",
                Family::default(),
            ),
        }
    }

    pub(crate) fn count_sent(&self, kind: MessageKind, bytes: usize) {
        self.sent_bytes_by_kind[kind as usize].inc_by(bytes as u64);
    }

    pub(crate) fn count_received(&self, kind: MessageKind, bytes: usize) {
        self.received_bytes_by_kind[kind as usize].inc_by(bytes as u64);
    }

    pub(crate) fn count_closed(&self, kind: LinkErrorKind) {
        self.closed_links.get_or_create(&[("reason", kind.into())]).inc();
    }
}

fn register_by_kind(metrics: &Metrics, name: &str, help: &str) -> Arc<[Counter]> {
    let family = metrics.register(name, help, Family::<Labels, Counter>::default());
    MessageKind::iter().map(|kind| family.get_or_create_owned(&[("kind", kind.into())])).collect()
}
