use super::gossiper::is_direct;

/// Guards against loads that reach 20 hosts later than they are used for, and against
/// a fleet of the design size that sends more than its budget to all hosts.
#[test]
fn only_small_fleets_send_loads_to_all_hosts() {
    assert!(is_direct(1, 12, 2500));
    assert!(is_direct(6, 24, 2500));
    assert!(is_direct(20, 12, 2500));
    assert!(!is_direct(350, 950, 2500));
    assert!(!is_direct(20, 12, 500));
}
