/// Direction in which data passes through a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    ToTarget,
    ToCaller,
}
