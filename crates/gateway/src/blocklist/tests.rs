use {
    super::{
        block::{Block, BlockPhase, may_probe},
        crash::Crash,
        part_blocklist::{BeliefChange, PartBlocklist},
        part_key::{PartKey, TeamHash, part_keys},
        part_record::PartRecord,
    },
    std::time::{Duration, Instant},
};

const FIRST: PartKey = 1;
const OWN: PartKey = 2;
const DEADLY: PartKey = 3;
const TEAM: TeamHash = 7;
const OTHER_TEAM: TeamHash = 8;
const HOST: u64 = 5;
const FLEET_HOSTS: u32 = 12;

fn after(start: Instant, ms: u64) -> Instant {
    start + Duration::from_millis(ms)
}

/// A request with these parts crashes an engine.
fn crash(list: &mut PartBlocklist, parts: &[PartKey], endpoint: u32, team: TeamHash, at: Instant) {
    list.record_crash(parts, Crash { endpoint, team, at }, at);
}

/// A list that has just blocked the deadly part after crashes of the given teams' requests, and
/// the time of that.
fn blocked_list(start: Instant, teams: &[TeamHash]) -> (PartBlocklist, Instant) {
    let mut list = PartBlocklist::default();
    for (number, team) in teams.iter().enumerate() {
        let at = after(start, 300 * number as u64);
        crash(&mut list, &[FIRST, DEADLY], number as u32, *team, at);
    }
    let now = after(start, 300 * teams.len() as u64 + 1_000);
    list.decide(now);
    (list, now)
}

fn is_refused(list: &mut PartBlocklist, parts: &[PartKey], team: TeamHash, now: Instant) -> bool {
    list.admit(parts, team, HOST, FLEET_HOSTS, now).is_err()
}

fn knowledge(list: &PartBlocklist) -> Vec<(PartKey, PartRecord)> {
    list.records().iter().map(|(part, record)| (part, record.clone())).collect()
}

fn tell(list: &mut PartBlocklist, knowledge: &[(PartKey, PartRecord)], now: Instant) {
    for (part, record) in knowledge {
        list.merge(*part, record, now);
    }
}

/// Guards against a part in the same requests that is blamed in place of the deadly one.
#[test]
fn the_last_part_that_all_crashes_share_is_blocked() {
    let (mut list, now) = blocked_list(Instant::now(), &[TEAM, OTHER_TEAM, TEAM]);
    assert!(is_refused(&mut list, &[FIRST, DEADLY], TEAM, now));
    assert!(is_refused(&mut list, &[DEADLY], OTHER_TEAM, now));
    assert!(!is_refused(&mut list, &[FIRST, OWN], TEAM, now));
    assert_eq!(list.take_changes(), [(DEADLY, BeliefChange::Blocked)]);
}

/// Guards against a block after crashes that had another reason: responses have begun since.
#[test]
fn a_response_clears_a_part() {
    let start = Instant::now();
    let mut list = PartBlocklist::default();
    for number in 0..6 {
        let at = after(start, 300 * number);
        crash(&mut list, &[FIRST, OWN], number as u32, TEAM, at);
        list.record_response(&[FIRST], after(at, 100));
    }
    // the requests with the rare part were repeated after the last crash
    list.record_response(&[FIRST, OWN], after(start, 2_000));
    list.decide(after(start, 5_000));
    assert!(!is_refused(&mut list, &[FIRST, OWN], TEAM, after(start, 5_000)));
}

/// Guards against engines that are lost at the same moment and count as many crashes.
#[test]
fn engines_lost_at_once_are_one_event() {
    let start = Instant::now();
    let mut list = PartBlocklist::default();
    for endpoint in 0..20 {
        let at = after(start, u64::from(endpoint));
        crash(&mut list, &[FIRST, OWN], endpoint, TEAM, at);
    }
    list.decide(after(start, 5_000));
    assert!(!is_refused(&mut list, &[FIRST, OWN], TEAM, after(start, 5_000)));
}

/// Guards against a caller that has another team's part refused, by naming it in its own requests
/// that crash engines.
#[test]
fn crashes_of_one_team_block_its_own_requests_only() {
    let (mut list, now) = blocked_list(Instant::now(), &[TEAM, TEAM, TEAM]);
    assert!(is_refused(&mut list, &[DEADLY], TEAM, now));
    assert!(!is_refused(&mut list, &[DEADLY], OTHER_TEAM, now));
    // another team's request crashes an engine too
    crash(&mut list, &[DEADLY], 9, OTHER_TEAM, now);
    assert!(is_refused(&mut list, &[DEADLY], OTHER_TEAM, now));
    let changes: Vec<_> = list.take_changes().into_iter().map(|(_, change)| change).collect();
    assert_eq!(changes, [BeliefChange::Blocked, BeliefChange::Widened]);
}

/// Guards against knowledge that is lost when all hosts but one restart, and against merges whose
/// result depends on their order or number.
#[test]
fn a_new_host_adopts_what_another_one_knows() {
    let start = Instant::now();
    let (list, now) = blocked_list(start, &[TEAM, OTHER_TEAM, TEAM]);
    let known = knowledge(&list);
    let mut new = PartBlocklist::default();
    for _ in 0..3 {
        tell(&mut new, &known, now);
        new.decide(now);
    }
    assert!(is_refused(&mut new, &[FIRST, DEADLY], TEAM, now));
    assert!(!is_refused(&mut new, &[FIRST, OWN], TEAM, now));
    assert_eq!(new.take_changes(), [(DEADLY, BeliefChange::Adopted)]);
    let crashes =
        |list: &PartBlocklist| list.records().get(DEADLY).map(|record| record.crashes.len());
    assert_eq!(crashes(&new), crashes(&list));
}

/// Guards against crashes that each host sees one of and nobody adds up.
#[test]
fn crashes_seen_by_different_hosts_add_up() {
    let start = Instant::now();
    let mut hosts: Vec<PartBlocklist> = (0..3).map(|_| PartBlocklist::default()).collect();
    for (number, host) in hosts.iter_mut().enumerate() {
        let at = after(start, 400 * number as u64);
        crash(host, &[FIRST, DEADLY], number as u32, number as TeamHash, at);
    }
    let now = after(start, 3_000);
    let known: Vec<_> = hosts.iter().flat_map(knowledge).collect();
    for host in &mut hosts {
        tell(host, &known, now);
        host.decide(now);
        assert!(is_refused(host, &[FIRST, DEADLY], TEAM, now));
        assert!(!is_refused(host, &[FIRST, OWN], TEAM, now));
    }
}

/// Guards against reports that several hosts make of one crash and that count as several.
#[test]
fn reports_of_one_crash_count_once() {
    let start = Instant::now();
    let mut list = PartBlocklist::default();
    for number in 0..8 {
        crash(&mut list, &[DEADLY], 4, number, after(start, 100 * u64::from(number)));
    }
    list.decide(after(start, 5_000));
    assert!(!is_refused(&mut list, &[DEADLY], TEAM, after(start, 5_000)));
}

/// Guards against old reports that blame a part again after a response has cleared it.
#[test]
fn a_cleared_part_is_not_blocked_by_older_reports() {
    let start = Instant::now();
    let (list, now) = blocked_list(start, &[TEAM, OTHER_TEAM, TEAM]);
    let known = knowledge(&list);
    let mut host = PartBlocklist::default();
    tell(&mut host, &known, now);
    let cleared_at = after(now, 500);
    host.record_response(&[DEADLY], cleared_at);
    tell(&mut host, &known, after(cleared_at, 300));
    host.decide(after(cleared_at, 5_000));
    assert!(!is_refused(&mut host, &[DEADLY], TEAM, after(cleared_at, 5_000)));
    // and the clearance reaches the others
    let (mut other, _) = blocked_list(start, &[TEAM, OTHER_TEAM, TEAM]);
    tell(&mut other, &knowledge(&host), after(cleared_at, 600));
    assert!(!is_refused(&mut other, &[DEADLY], TEAM, after(cleared_at, 600)));
}

/// Guards against a block that another host decided on, before it heard of an answer that came
/// after all crashes.
#[test]
fn a_block_for_crashes_before_an_answer_is_void() {
    let start = Instant::now();
    let (mut late, now) = blocked_list(start, &[TEAM, OTHER_TEAM, TEAM]);
    let mut host = PartBlocklist::default();
    // the last crash was 1,300 ms before the decision, the answer 500 ms before it
    let answered_at = now.checked_sub(Duration::from_millis(500)).expect("a time");
    crash(&mut host, &[FIRST, DEADLY], 2, TEAM, after(start, 600));
    host.record_response(&[FIRST, DEADLY], answered_at);
    let (known, decided) = (knowledge(&host), knowledge(&late));
    tell(&mut host, &decided, now);
    tell(&mut late, &known, now);
    assert!(!is_refused(&mut host, &[DEADLY], TEAM, now));
    assert!(!is_refused(&mut late, &[DEADLY], TEAM, now));
}

/// Guards against a block that does not end although the part is sound now, and against one that
/// ends for all hosts at once although it still crashes engines.
#[test]
fn a_block_ends_with_a_request_of_few_hosts() {
    let (list, now) = blocked_list(Instant::now(), &[TEAM, OTHER_TEAM, TEAM]);
    let block = list.records().get(DEADLY).and_then(|record| record.block).expect("a block");
    let BlockPhase::Closed { until } = block.phase(now) else { panic!("it is closed") };
    assert!(matches!(block.phase(until), BlockPhase::Probation { round: 0, .. }));
    let hosts_of_round = |round: u32, fleet: u32| {
        (0..u64::from(fleet)).filter(|host| may_probe(DEADLY, round, host * 7_919, fleet)).count()
    };
    for fleet in [1, 12, 100, 1_000] {
        assert!(hosts_of_round(0, fleet) <= 6, "{fleet} hosts: {}", hosts_of_round(0, fleet));
        assert_eq!(hosts_of_round(12, fleet), fleet as usize);
    }
}

/// Guards against a request in the probation that crashes an engine and is sent again, and against
/// a second one.
#[test]
fn a_host_sends_one_request_in_a_round() {
    let (mut list, _) = blocked_list(Instant::now(), &[TEAM, OTHER_TEAM, TEAM]);
    let block = list.records().get(DEADLY).and_then(|record| record.block).expect("a block");
    let BlockPhase::Closed { until } = block.phase(block.last_crash_at) else { panic!("closed") };
    let pass = list.admit(&[DEADLY], TEAM, HOST, 1, until).expect("the only host");
    assert!(pass.is_probe);
    assert!(list.admit(&[DEADLY], TEAM, HOST, 1, until).is_err());
    assert!(list.recheck(&[DEADLY], TEAM, until).is_err());
    // it crashes an engine again: closed for twice as long
    crash(&mut list, &[DEADLY], 11, TEAM, after(until, 200));
    let again = list.records().get(DEADLY).and_then(|record| record.block).expect("a block");
    assert_eq!(again.level, block.level + 1);
    assert!(matches!(again.phase(after(until, 40_000)), BlockPhase::Closed { .. }));
}

/// Guards against a part that was sound, crashes engines now, and is tried again every few seconds.
#[test]
fn a_part_that_was_sound_is_closed_for_long_after_its_probation() {
    let start = Instant::now();
    let mut list = PartBlocklist::default();
    list.record_response(&[DEADLY], start);
    let at = |number: u64| after(start, 1_000 + 300 * number);
    for number in 0..5 {
        crash(&mut list, &[DEADLY], number as u32, number as TeamHash, at(number));
    }
    list.decide(at(3));
    assert!(!is_refused(&mut list, &[DEADLY], TEAM, at(3)), "four crashes are not enough");
    list.decide(at(9));
    assert!(is_refused(&mut list, &[DEADLY], TEAM, at(9)));
    let probe_at = after(at(4), 4_100);
    assert!(list.admit(&[DEADLY], TEAM, HOST, 1, probe_at).is_ok(), "closed for a short time");
    crash(&mut list, &[DEADLY], 9, TEAM, probe_at);
    assert!(list.admit(&[DEADLY], TEAM, HOST, 1, after(probe_at, 30_000)).is_err());
}

/// Guards against a block that lasts for ever when nobody asks for the part.
#[test]
fn a_block_that_nobody_asks_for_is_forgotten() {
    let start = Instant::now();
    let block = Block { last_crash_at: start, level: 3, team: None };
    assert_eq!(block.phase(after(start, 600_000)), BlockPhase::Over);
    let (mut list, now) = blocked_list(start, &[TEAM, OTHER_TEAM, TEAM]);
    list.decide(after(now, 600_000));
    assert_eq!(list.records().iter().count(), 0);
}

/// Guards against memory that grows with the prompts that callers send.
#[test]
fn parts_are_bounded_in_number() {
    let start = Instant::now();
    let (mut list, now) = blocked_list(start, &[TEAM, OTHER_TEAM, TEAM]);
    for number in 0..20_000_u64 {
        let parts = [FIRST, 1_000_000 + number];
        crash(&mut list, &parts, number as u32 % 50, TEAM, after(now, number / 10));
        list.record_response(&[2_000_000 + number], after(now, number / 10));
    }
    assert!(list.records().iter().count() <= 1_024);
    assert!(is_refused(&mut list, &[DEADLY], TEAM, after(now, 2_000)), "the block was kept");
    let names: Vec<u64> = (0..10_000).collect();
    assert!(part_keys("llm", &names).len() <= 16);
}
