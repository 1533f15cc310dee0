/// Way of data through a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    ToTarget,
    ToCaller,
}
