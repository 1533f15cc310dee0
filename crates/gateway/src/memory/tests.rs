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

/// Guards against short messages that are refused since long ones have filled the pool.
#[test]
fn large_buffers_leave_room_for_small_ones() {
    let pool = BytePool::new(1_000_000);
    let mut large = [pool.reserve(), pool.reserve()];
    assert_eq!(large[0].resize(500_000), Ok(()));
    assert_eq!(large[1].resize(250_001), Err(PoolExhausted));
    assert_eq!(large[1].resize(250_000), Ok(()));
    let mut small = [pool.reserve(), pool.reserve(), pool.reserve(), pool.reserve()];
    assert_eq!(small.each_mut().map(|buffer| buffer.resize(60_000)), [Ok(()); 4]);
    assert_eq!(small[0].resize(70_001), Err(PoolExhausted));
    assert_eq!(large[0].resize(400_000), Ok(()));
}
