mod batching;
mod fleet;
mod outage;
mod random;
mod range_state;
mod takeover;
mod test_log;
