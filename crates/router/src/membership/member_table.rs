use {
    super::{host_info::HostInfo, live_view::LiveView},
    crate::placement::name_score,
    mango_wire::{
        HostId, digest,
        peer::{Alive, Suspect},
        records::{Join, Leave},
    },
    std::{
        collections::{HashMap, HashSet, VecDeque},
        sync::Arc,
        time::{Duration, Instant},
    },
};

// Bounds the memory for identities that have left; enough for weeks of restarts
// of 350 hosts (46 of each).
const MAX_LEFT_IDENTITIES: usize = 16_384;

/// Registered hosts and their liveness. Registration follows the records of the
/// stream `fleet`, liveness follows messages from peers.
pub(crate) struct MemberTable {
    own_host: HostId,
    own_identity: String,
    /// Number of live hosts that monitor each host.
    monitor_count: usize,
    suspect_timeout: Duration,
    /// Time that a suspected host has to refute the suspicion.
    grace_period: Duration,
    /// How long the log keeps a record.
    retention_ms: u64,
    members: HashMap<HostId, Member>,
    /// Identities that have left or were replaced. They are not registered again.
    left_identities: HashSet<String>,
    /// `left_identities` from the oldest to the newest.
    left_order: VecDeque<String>,
    /// Whether the view may have changed since the last `take_changed`.
    changed: bool,
}

struct Member {
    info: HostInfo,
    /// Append time of the newest Join record, by the log's clock.
    joined_at_ms: u64,
    /// Highest known incarnation. The host raises it to refute a suspicion, and
    /// suspicions with a lower one are ignored.
    incarnation: u64,
    state: State,
    /// Time of the registration, the last heartbeat or refutation, or the last
    /// `reset_silence`, whichever is newest.
    last_contact: Instant,
    /// Since when this host monitors the member; `None` if it does not.
    monitored_since: Option<Instant>,
}

#[derive(Clone, Copy, Eq, PartialEq)]
enum State {
    Live,
    /// Suspected by a monitor; dead at the deadline unless it refutes the suspicion.
    Suspected(Instant),
    Dead,
}

impl MemberTable {
    pub(crate) fn new(
        own_host: &str,
        own_identity: &str,
        monitor_count: usize,
        suspect_timeout: Duration,
        retention_ms: u64,
    ) -> Self {
        Self {
            own_host: own_host.to_owned(),
            own_identity: own_identity.to_owned(),
            monitor_count,
            suspect_timeout,
            // a refutation needs one round trip; a tenth of the timeout keeps the takeover
            // of a dead host's resources below 3 s
            grace_period: suspect_timeout / 10,
            retention_ms,
            members: HashMap::new(),
            left_identities: HashSet::new(),
            left_order: VecDeque::new(),
            changed: true,
        }
    }

    /// Returns whether the view may have changed since the last call.
    pub(crate) fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Applies a Join record. Returns whether its identity is registered afterwards.
    pub(crate) fn apply_join(&mut self, join: &Join, at_ms: u64, now: Instant) -> bool {
        self.changed = true;
        self.expire_joins(at_ms);
        let Ok(peer_address) = join.peer_address.parse() else {
            return false;
        };
        if self.left_identities.contains(&join.identity) {
            return false;
        }
        if let Some(member) = self.members.get_mut(&join.host_id) {
            if member.info.identity == join.identity {
                member.joined_at_ms = at_ms;
                member.info.peer_address = peer_address;
                return true;
            }
            let replaced = member.info.identity.clone();
            self.add_left_identity(replaced);
        }
        let info = HostInfo {
            host_id: join.host_id.clone(),
            identity: join.identity.clone(),
            region: join.region.clone(),
            zone: join.zone.clone(),
            peer_address,
        };
        let member = Member {
            info,
            joined_at_ms: at_ms,
            incarnation: 0,
            state: State::Live,
            last_contact: now,
            monitored_since: None,
        };
        self.members.insert(join.host_id.clone(), member);
        true
    }

    /// Applies a Leave record. Returns whether a registered host was removed.
    pub(crate) fn apply_leave(&mut self, leave: &Leave, at_ms: u64) -> bool {
        self.changed = true;
        self.expire_joins(at_ms);
        self.add_left_identity(leave.identity.clone());
        if !self.is_registered(&leave.host_id, &leave.identity) {
            return false;
        }
        self.members.remove(&leave.host_id).is_some()
    }

    /// Removes hosts whose newest Join record the log no longer keeps at `at_ms`.
    /// Depends only on records, so that all hosts get the same result.
    fn expire_joins(&mut self, at_ms: u64) {
        let retention_ms = self.retention_ms;
        self.members.retain(|_, member| at_ms <= member.joined_at_ms.saturating_add(retention_ms));
    }

    /// Clears the registrations after records were missed. The identities that
    /// have left are kept.
    pub(crate) fn reset(&mut self) {
        self.members.clear();
        self.changed = true;
    }

    /// Applies the announcement of a planned leave, which arrives before the Leave
    /// record is read.
    pub(crate) fn apply_leave_announcement(&mut self, identity: &str) {
        self.add_left_identity(identity.to_owned());
    }

    fn add_left_identity(&mut self, identity: String) {
        self.changed = true;
        if !self.left_identities.insert(identity.clone()) {
            return;
        }
        self.left_order.push_back(identity);
        if self.left_order.len() > MAX_LEFT_IDENTITIES
            && let Some(oldest) = self.left_order.pop_front()
        {
            self.left_identities.remove(&oldest);
        }
    }

    pub(crate) fn has_left(&self, identity: &str) -> bool {
        self.left_identities.contains(identity)
    }

    pub(crate) fn is_registered(&self, host: &str, identity: &str) -> bool {
        self.members.get(host).is_some_and(|member| member.info.identity == identity)
    }

    /// Records a heartbeat. Returns a suspicion if the sender is suspected or dead
    /// and has to refute it.
    pub(crate) fn apply_heartbeat(
        &mut self,
        host: &str,
        identity: &str,
        incarnation: u64,
        now: Instant,
    ) -> Option<Suspect> {
        let member = self.members.get_mut(host).filter(|m| m.info.identity == identity)?;
        member.last_contact = now;
        if member.state == State::Live || incarnation > member.incarnation {
            self.changed |= member.state != State::Live;
            member.incarnation = member.incarnation.max(incarnation);
            member.state = State::Live;
            return None;
        }
        Some(member.suspicion())
    }

    /// Applies a monitor's suspicion of a host. Returns whether it changed the host
    /// from live to suspected.
    pub(crate) fn apply_suspicion(&mut self, suspect: &Suspect, now: Instant) -> bool {
        let grace_period = self.grace_period;
        let Some(member) = self.members.get_mut(&suspect.host_id) else {
            return false;
        };
        if member.info.identity != suspect.identity
            || suspect.incarnation < member.incarnation
            || member.state != State::Live
        {
            return false;
        }
        member.incarnation = suspect.incarnation;
        member.state = State::Suspected(now + grace_period);
        true
    }

    /// Applies a host's refutation of a suspicion. The host is live again if the
    /// incarnation is higher.
    pub(crate) fn apply_refutation(&mut self, alive: &Alive, now: Instant) {
        let Some(member) = self.members.get_mut(&alive.host_id) else {
            return;
        };
        if member.info.identity == alive.identity && alive.incarnation > member.incarnation {
            self.changed = true;
            member.incarnation = alive.incarnation;
            member.state = State::Live;
            member.last_contact = now;
        }
    }

    /// Suspects monitored hosts that have been silent for too long, and declares
    /// hosts dead that did not refute a suspicion in time. Returns the new
    /// suspicions.
    pub(crate) fn check_silence(&mut self, now: Instant) -> Vec<Suspect> {
        let mut suspicions = Vec::new();
        for member in self.members.values_mut() {
            if let State::Suspected(deadline) = member.state
                && now >= deadline
            {
                member.state = State::Dead;
                self.changed = true;
            }
            let Some(since) = member.monitored_since else {
                continue;
            };
            let silent = now.saturating_duration_since(member.last_contact.max(since));
            if member.state == State::Live && silent >= self.suspect_timeout {
                member.state = State::Suspected(now + self.grace_period);
                suspicions.push(member.suspicion());
            }
        }
        suspicions
    }

    /// Restarts the measurement of silence for all hosts, after this process was
    /// paused and could not receive messages.
    pub(crate) fn reset_silence(&mut self, now: Instant) {
        for member in self.members.values_mut() {
            member.last_contact = now;
        }
    }

    /// Suspicions of all dead hosts. They are sent periodically to these hosts
    /// themselves: a live host whose refutation was lost refutes again.
    pub(crate) fn dead_host_suspicions(&self) -> Vec<Suspect> {
        let dead = |member: &&Member| {
            member.state == State::Dead && !self.left_identities.contains(&member.info.identity)
        };
        self.members.values().filter(dead).map(Member::suspicion).collect()
    }

    /// Suspicions of the dead hosts that this host monitors. They are sent again to
    /// reach hosts that joined later or missed the first message.
    pub(crate) fn monitored_dead_host_suspicions(&self) -> Vec<Suspect> {
        let monitored_dead = |member: &&Member| {
            member.state == State::Dead
                && member.monitored_since.is_some()
                && !self.left_identities.contains(&member.info.identity)
        };
        self.members.values().filter(monitored_dead).map(Member::suspicion).collect()
    }

    /// Recomputes which hosts this host monitors, after a change of the view.
    pub(crate) fn assign_monitored(&mut self, view: &LiveView, now: Instant) {
        for member in self.members.values_mut() {
            let monitored =
                is_monitor(&member.info.host_id, view, &self.own_host, self.monitor_count);
            member.monitored_since = match (monitored, member.monitored_since) {
                (false, _) => None,
                (true, since) => since.or(Some(now)),
            };
        }
    }

    /// Live hosts that monitor this host and get its heartbeats.
    pub(crate) fn own_monitors(&self, view: &LiveView) -> Vec<HostId> {
        let monitors_own_host =
            |info: &&HostInfo| is_monitor(&self.own_host, view, &info.host_id, self.monitor_count);
        view.hosts.iter().filter(monitors_own_host).map(|info| info.host_id.clone()).collect()
    }

    /// Returns the registered hosts and those of them that are live: neither dead nor
    /// known to have left. This host never counts as dead.
    pub(crate) fn view(&self) -> LiveView {
        let live = |member: &&Member| {
            let is_own = member.info.identity == self.own_identity;
            (is_own || member.state != State::Dead)
                && !self.left_identities.contains(&member.info.identity)
        };
        let mut hosts: Vec<HostInfo> =
            self.members.values().filter(live).map(|member| member.info.clone()).collect();
        hosts.sort_by(|a, b| a.host_id.cmp(&b.host_id));
        let registered = self
            .members
            .iter()
            .map(|(host, member)| (host.clone(), member.info.identity.clone()))
            .collect();
        LiveView { hosts: Arc::new(hosts), registered }
    }
}

impl Member {
    fn suspicion(&self) -> Suspect {
        Suspect {
            host_id: self.info.host_id.clone(),
            identity: self.info.identity.clone(),
            incarnation: self.incarnation,
        }
    }
}

/// Whether `candidate` monitors `host`: it is among the first `count` live hosts
/// in the rendezvous order of `host`.
fn is_monitor(host: &str, view: &LiveView, candidate: &str, count: usize) -> bool {
    if host == candidate || view.live_host(candidate).is_none() {
        return false;
    }
    let key = digest(host.as_bytes());
    let candidate_score = name_score(key, candidate);
    let higher_ranked = view
        .hosts
        .iter()
        .filter(|info| info.host_id != host)
        .filter(|info| name_score(key, &info.host_id) > candidate_score)
        .take(count)
        .count();
    higher_ranked < count
}
