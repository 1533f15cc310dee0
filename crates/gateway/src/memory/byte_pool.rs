//! Limits the memory of the buffers that hold messages of other processes.
//!
//! Load pattern: endpoints in trouble, or callers, send bytes without end on hundreds of
//! connections at once. A limit for each message alone would let their sum end the process.
use std::{cell::Cell, rc::Rc};

/// Buffers up to this size may take the whole pool.
const SMALL_BUFFER_BYTES: usize = 65_536;
/// Part of the pool, in percent, beyond which no larger buffer grows, so that long messages of peers that
/// read slowly leave room for short ones.
const LARGE_BUFFERS_PERCENT: usize = 75;

/// Bytes that all buffers of one kind may take together.
#[derive(Clone, Debug)]
pub(crate) struct BytePool(Rc<PoolState>);

#[derive(Debug)]
struct PoolState {
    max_bytes: usize,
    reserved_bytes: Cell<usize>,
}

/// The pool has fewer bytes left than a buffer needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PoolExhausted;

impl BytePool {
    pub(crate) fn new(max_bytes: usize) -> BytePool {
        BytePool(Rc::new(PoolState { max_bytes, reserved_bytes: Cell::new(0) }))
    }

    pub(crate) fn reserved_bytes(&self) -> usize {
        self.0.reserved_bytes.get()
    }

    /// A reservation of no bytes for a new buffer.
    pub(crate) fn reserve(&self) -> Reservation {
        Reservation { pool: self.clone(), bytes: 0 }
    }
}

/// The bytes of one buffer; they return to the pool when the reservation is dropped.
#[derive(Debug)]
pub(crate) struct Reservation {
    pool: BytePool,
    bytes: usize,
}

impl Reservation {
    /// Changes the reservation to the current size of the buffer.
    pub(crate) fn resize(&mut self, bytes: usize) -> Result<(), PoolExhausted> {
        let pool = &self.pool.0;
        let others = pool.reserved_bytes.get() - self.bytes;
        let max_bytes = match bytes {
            0..=SMALL_BUFFER_BYTES => pool.max_bytes,
            _ => pool.max_bytes * LARGE_BUFFERS_PERCENT / 100,
        };
        if bytes > self.bytes && others + bytes > max_bytes {
            return Err(PoolExhausted);
        }
        pool.reserved_bytes.set(others + bytes);
        self.bytes = bytes;
        Ok(())
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let reserved = &self.pool.0.reserved_bytes;
        reserved.set(reserved.get() - self.bytes);
    }
}
