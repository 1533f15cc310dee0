use crate::router::spread_group::SpreadGroup;

/// A member that misses a report would compute too low a cap, and a report sent twice
/// would exceed the byte budget.
#[test]
fn each_member_gets_a_report_once() {
    for members in 1..120 {
        let group = SpreadGroup::new(members);
        for origin in 0..members {
            let mut received = vec![0; members];
            for first in group.targets(origin, origin) {
                received[first] += 1;
                for second in group.targets(first, origin) {
                    received[second] += 1;
                }
            }
            let expected: Vec<i32> = (0..members).map(|m| i32::from(m != origin)).collect();
            assert_eq!(received, expected, "{members} members, origin {origin}");
        }
    }
}

/// No member may forward much more than its share of the entries.
#[test]
fn forwarding_is_shared() {
    let members = 43;
    let group = SpreadGroup::new(members);
    for sender in 0..members {
        let entries: usize = (0..members).map(|origin| group.targets(sender, origin).len()).sum();
        assert!(entries <= 2 * members, "member {sender} sends {entries}");
    }
}
