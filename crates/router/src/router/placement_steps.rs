use {
    super::router_parts::RouterParts,
    crate::{config::PoolInfo, placement::Candidate},
    mango_config::{Explanation, PlacementStep},
    mango_wire::{chat_key, peer::AcquireMode, pool_key},
    std::time::Instant,
};

/// Returns the endpoints in the order in which this router would now request permits for
/// them. State that only the owner of an endpoint has, such as its warm chats, is not
/// considered.
pub(crate) fn placement_steps(
    parts: &RouterParts,
    explanation: &Explanation,
    chat: Option<&str>,
) -> Vec<PlacementStep> {
    let config = parts.config.current();
    // 0 stands for no chat
    let chat = chat.map_or(0, |chat| chat_key(&explanation.team, chat));
    let mut steps = Vec::new();
    for id in &explanation.pools {
        let Some(pool) = config.pool(pool_key(id)) else { continue };
        let Some(plan) = parts.planner.plan(pool.key, chat, chat != 0) else { continue };
        steps.extend(plan.filter_map(|candidate| step(parts, pool, candidate)));
    }
    if let Some(chosen) = steps.iter_mut().find(|step| step.chosen) {
        chosen.because = format!("first with room: {}", chosen.because);
        let chosen = chosen.clone();
        for step in steps.iter_mut().filter(|step| **step != chosen) {
            step.chosen = false;
        }
    }
    steps
}

/// Describes one candidate; `chosen` is whether the request would be sent to it if no
/// earlier candidate were chosen.
fn step(parts: &RouterParts, pool: &PoolInfo, candidate: Candidate) -> Option<PlacementStep> {
    let config = parts.config.current();
    let endpoint = config.endpoint(candidate.endpoint)?;
    let owner = parts.resources.with(endpoint.key, |resource| parts.ownership.owner(resource));
    let load = parts.loads.load(endpoint.key);
    let (chosen, because) = match (&owner, load) {
        (None, _) => (false, "no owner".to_owned()),
        (_, None) => (true, "its load is not known here".to_owned()),
        (_, Some(load)) => {
            let has_free_slot = load.is_free(endpoint.slots, Instant::now());
            let text = format!(
                "{} of {} slots in use, {} waiting, health {:.2}",
                load.in_flight,
                endpoint.slots,
                load.queued,
                f64::from(load.weight_permille) / 1000.0
            );
            (has_free_slot || candidate.mode == AcquireMode::Queue, text)
        }
    };
    Some(PlacementStep {
        pool: pool.id.clone(),
        endpoint: endpoint.id.clone(),
        mode: candidate.mode.to_string(),
        chosen,
        because,
        owner: owner.map(|owner| owner.host_id),
    })
}
