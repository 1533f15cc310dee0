use {
    super::{origin_store::StreamOrigin, origin_table::OriginTable},
    std::{
        rc::Rc,
        time::{Duration, Instant},
    },
};

const LIFETIME: Duration = Duration::from_secs(25);

fn service() -> Rc<str> {
    "llm".into()
}

fn unlogged(table: &mut OriginTable) -> Vec<StreamOrigin> {
    table.unlogged(|_| true, usize::MAX)
}

/// Guards against origins that are lost when the service gets a second software version while the
/// streams are in progress, and against a log with streams that nobody takes up.
#[test]
fn streams_in_progress_are_logged_once_their_service_has_several_versions() {
    let mut table = OriginTable::default();
    let expires_at = Instant::now() + LIFETIME;
    table.add_own(&service(), 1, 10, expires_at);
    table.add_own(&service(), 2, 10, expires_at);
    table.set_complete(2);
    assert!(table.unlogged(|_| false, usize::MAX).is_empty());
    assert_eq!(unlogged(&mut table), [StreamOrigin { stream: 1, version: 10 }]);
}

/// Guards against origins that are lost when an append to the log fails.
#[test]
fn origins_stay_unlogged_until_the_log_has_them() {
    let mut table = OriginTable::default();
    table.add_own(&service(), 1, 10, Instant::now() + LIFETIME);
    let first = unlogged(&mut table);
    assert_eq!((first.len(), unlogged(&mut table)), (1, first.clone()));
    table.set_logged(&first);
    assert!(unlogged(&mut table).is_empty());
}

/// Guards against memory that grows without a bound, and against forgetting a stream that went on.
#[test]
fn origins_expire_unless_their_streams_go_on() {
    let mut table = OriginTable::default();
    let now = Instant::now();
    table.add(1, 10, now + LIFETIME);
    table.add(2, 10, now + LIFETIME);
    table.add_own(&service(), 2, 10, now + LIFETIME * 2);
    table.expire(now + LIFETIME);
    assert_eq!((table.get(1), table.get(2), table.len()), (None, Some(10), 1));
    table.expire(now + LIFETIME * 2);
    assert_eq!(table.len(), 0);
}
