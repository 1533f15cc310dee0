//! Decides whether a configuration asks for answers in time before all others: the most urgent of its
//! streaming routes has a shorter target latency than each other one. Such targets say that a late
//! answer to the urgent requests is worth little, so that room is kept for answers in time.

use {super::route::Route, crate::config::RequestKind};

/// Whether there is an interactive route. All services count together, since operators move routes
/// between services.
pub(super) fn has_interactive_route(routes: &[Route]) -> bool {
    let streaming = || routes.iter().filter(|route| route.kind == RequestKind::Streaming);
    let Some(most_urgent) = streaming().min_by_key(|route| route.priority) else { return false };
    let mut others = streaming().filter(|route| !std::ptr::eq(*route, most_urgent)).peekable();
    others.peek().is_some()
        && others.all(|route| {
            route.priority > most_urgent.priority
                && route.target_latency_ms > most_urgent.target_latency_ms
        })
}
