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

// Weeks of restarts at design size, so that the set can't grow without bound.
const MAX_LEFT: usize = 16_384;

/// Registered hosts and what is known of their liveness. Registration follows
/// the records of the stream `fleet`, liveness follows messages of peers.
pub(crate) struct MemberTable {
    own_host: HostId,
    own_identity: String,
    monitors: usize,
    suspect: Duration,
    grace: Duration,
    retention_ms: u64,
    members: HashMap<HostId, Member>,
    left: HashSet<String>,
    left_order: VecDeque<String>,
    /// Whether the view may have changed since `take_changed`.
    changed: bool,
}

struct Member {
    info: HostInfo,
    /// Append time of the newest Join, by the log's clock.
    joined_at_ms: u64,
    incarnation: u64,
    state: State,
    last_heard: Instant,
    /// Since when this host is one of its monitors.
    monitored_since: Option<Instant>,
}

#[derive(Clone, Copy, Eq, PartialEq)]
enum State {
    Live,
    /// Reported silent; may refute until the deadline.
    Suspected(Instant),
    Dead,
}

impl MemberTable {
    pub(crate) fn new(
        own_host: &str,
        own_identity: &str,
        monitors: usize,
        suspect: Duration,
        retention_ms: u64,
    ) -> Self {
        Self {
            own_host: own_host.to_owned(),
            own_identity: own_identity.to_owned(),
            monitors,
            suspect,
            // a refutation needs one round trip; a tenth keeps takeovers below 3 s
            grace: suspect / 10,
            retention_ms,
            members: HashMap::new(),
            left: HashSet::new(),
            left_order: VecDeque::new(),
            changed: true,
        }
    }

    /// Returns whether the view may have changed since the last call.
    pub(crate) fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Applies a Join record. Returns whether its identity is registered now.
    pub(crate) fn join(&mut self, join: &Join, at_ms: u64, now: Instant) -> bool {
        self.changed = true;
        self.expire(at_ms);
        let Ok(peer_address) = join.peer_address.parse() else {
            return false;
        };
        if self.left.contains(&join.identity) {
            return false;
        }
        if let Some(member) = self.members.get_mut(&join.host_id) {
            if member.info.identity == join.identity {
                member.joined_at_ms = at_ms;
                member.info.peer_address = peer_address;
                return true;
            }
            let replaced = member.info.identity.clone();
            self.add_left(replaced);
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
            last_heard: now,
            monitored_since: None,
        };
        self.members.insert(join.host_id.clone(), member);
        true
    }

    /// Applies a Leave record. Returns whether a registered host is gone.
    pub(crate) fn leave(&mut self, leave: &Leave, at_ms: u64) -> bool {
        self.changed = true;
        self.expire(at_ms);
        self.add_left(leave.identity.clone());
        if !self.is_registered(&leave.host_id, &leave.identity) {
            return false;
        }
        self.members.remove(&leave.host_id).is_some()
    }

    /// Removes hosts whose Join the log no longer keeps at the given time. The
    /// rule depends on records only, so that all hosts agree.
    fn expire(&mut self, at_ms: u64) {
        let retention_ms = self.retention_ms;
        self.members.retain(|_, member| at_ms <= member.joined_at_ms.saturating_add(retention_ms));
    }

    /// Forgets the registrations, because records were missed. Identities that
    /// have left stay known.
    pub(crate) fn reset(&mut self) {
        self.members.clear();
        self.changed = true;
    }

    /// Notes a planned leave that a host announced before its record was read.
    pub(crate) fn announce_leave(&mut self, identity: &str) {
        self.add_left(identity.to_owned());
    }

    fn add_left(&mut self, identity: String) {
        self.changed = true;
        if !self.left.insert(identity.clone()) {
            return;
        }
        self.left_order.push_back(identity);
        if self.left_order.len() > MAX_LEFT
            && let Some(oldest) = self.left_order.pop_front()
        {
            self.left.remove(&oldest);
        }
    }

    pub(crate) fn has_left(&self, identity: &str) -> bool {
        self.left.contains(identity)
    }

    pub(crate) fn is_registered(&self, host: &str, identity: &str) -> bool {
        self.members.get(host).is_some_and(|member| member.info.identity == identity)
    }

    /// Notes a heartbeat. Returns the suspicion that its sender has to refute.
    pub(crate) fn heartbeat(
        &mut self,
        host: &str,
        identity: &str,
        incarnation: u64,
        now: Instant,
    ) -> Option<Suspect> {
        let member = self.members.get_mut(host).filter(|m| m.info.identity == identity)?;
        member.last_heard = now;
        if member.state == State::Live || incarnation > member.incarnation {
            self.changed |= member.state != State::Live;
            member.incarnation = member.incarnation.max(incarnation);
            member.state = State::Live;
            return None;
        }
        Some(member.suspicion())
    }

    /// Notes that a monitor reported a host. Returns whether it was live before.
    pub(crate) fn suspect(&mut self, suspect: &Suspect, now: Instant) -> bool {
        let grace = self.grace;
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
        member.state = State::Suspected(now + grace);
        true
    }

    /// Notes that a host refuted a suspicion.
    pub(crate) fn alive(&mut self, alive: &Alive, now: Instant) {
        let Some(member) = self.members.get_mut(&alive.host_id) else {
            return;
        };
        if member.info.identity == alive.identity && alive.incarnation > member.incarnation {
            self.changed = true;
            member.incarnation = alive.incarnation;
            member.state = State::Live;
            member.last_heard = now;
        }
    }

    /// Returns suspicions of hosts that have been silent for too long, and
    /// declares hosts dead that did not refute one in time.
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
            let silent = now.saturating_duration_since(member.last_heard.max(since));
            if member.state == State::Live && silent >= self.suspect {
                member.state = State::Suspected(now + self.grace);
                suspicions.push(member.suspicion());
            }
        }
        suspicions
    }

    /// Starts the silence of all hosts over, because this host did not run and
    /// could not hear anything.
    pub(crate) fn restart_silence(&mut self, now: Instant) {
        for member in self.members.values_mut() {
            member.last_heard = now;
        }
    }

    /// Suspicions of all dead hosts. Each is sent to the host itself now and
    /// then, which refutes it if it is live and its refutation was lost here.
    pub(crate) fn dead_hosts(&self) -> Vec<Suspect> {
        let dead = |member: &&Member| {
            member.state == State::Dead && !self.left.contains(&member.info.identity)
        };
        self.members.values().filter(dead).map(Member::suspicion).collect()
    }

    /// Suspicions of dead hosts that this host monitors. They are repeated to
    /// reach hosts that joined later or missed the first message.
    pub(crate) fn standing_suspicions(&self) -> Vec<Suspect> {
        let monitored_dead = |member: &&Member| {
            member.state == State::Dead
                && member.monitored_since.is_some()
                && !self.left.contains(&member.info.identity)
        };
        self.members.values().filter(monitored_dead).map(Member::suspicion).collect()
    }

    /// Decides anew which hosts this one monitors, after a change of the view.
    pub(crate) fn assign_monitored(&mut self, view: &LiveView, now: Instant) {
        for member in self.members.values_mut() {
            let monitored = monitors(&member.info.host_id, view, &self.own_host, self.monitors);
            member.monitored_since = match (monitored, member.monitored_since) {
                (false, _) => None,
                (true, since) => since.or(Some(now)),
            };
        }
    }

    /// Live hosts that this one sends heartbeats to.
    pub(crate) fn own_monitors(&self, view: &LiveView) -> Vec<HostId> {
        let watches =
            |info: &&HostInfo| monitors(&self.own_host, view, &info.host_id, self.monitors);
        view.hosts.iter().filter(watches).map(|info| info.host_id.clone()).collect()
    }

    pub(crate) fn view(&self) -> LiveView {
        let live = |member: &&Member| {
            let own = member.info.identity == self.own_identity;
            (own || member.state != State::Dead) && !self.left.contains(&member.info.identity)
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

/// Whether `candidate` is among the first `count` live hosts in the rendezvous
/// order of `host`.
fn monitors(host: &str, view: &LiveView, candidate: &str, count: usize) -> bool {
    if host == candidate || view.live(candidate).is_none() {
        return false;
    }
    let key = digest(host.as_bytes());
    let own_score = name_score(key, candidate);
    let better = view
        .hosts
        .iter()
        .filter(|info| info.host_id != host)
        .filter(|info| name_score(key, &info.host_id) > own_score)
        .take(count)
        .count();
    better < count
}
