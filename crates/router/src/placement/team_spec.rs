use mango_wire::TeamKey;

/// Weight of a team in the fair queue.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct TeamSpec {
    pub(crate) key: TeamKey,
    pub(crate) weight: f64,
}
