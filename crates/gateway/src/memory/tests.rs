use super::{BytePool, PoolExhausted};

/// Guards against buffers whose sum exceeds the limit, and against bytes that are not returned.
#[test]
fn reservations_share_the_limit_and_return_their_bytes() {
    let pool = BytePool::new(100);
    let (mut first, mut second) = (pool.reserve(), pool.reserve());
    assert_eq!(first.resize(70), Ok(()));
    assert_eq!(second.resize(31), Err(PoolExhausted));
    assert_eq!(second.resize(30), Ok(()));
    assert_eq!(first.resize(10), Ok(()));
    assert_eq!(pool.reserved_bytes(), 40);
    drop((first, second));
    assert_eq!(pool.reserved_bytes(), 0);
}
