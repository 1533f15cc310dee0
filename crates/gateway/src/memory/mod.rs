mod byte_pool;
#[cfg(test)]
mod tests;

pub(crate) use byte_pool::{BytePool, PoolExhausted, Reservation};
