use {
    super::{
        compiled::Config,
        snapshot_parts::{canonical_json, whole_snapshot},
        snapshot_source::SnapshotSource,
    },
    mango_wire::{
        HostId,
        config::Snapshot,
        digest,
        peer::{ConfigReply, ConfigRequest},
    },
    rand::seq::SliceRandom,
    std::time::{Duration, Instant},
};

/// Largest serialised configuration that is accepted from peers. With the 24,000
/// teams that the router is designed for, two labels each, it takes 3.3 MB.
pub(crate) const MAX_SNAPSHOT_BYTES: u32 = 64 * 1024 * 1024;
// Leaves room for the other fields within the limit of 64 KiB for peer messages.
const MAX_PART_BYTES: usize = 48 * 1024;
const MAX_QUERIED_HOSTS: usize = 8;
const REPLY_TIMEOUT: Duration = Duration::from_millis(500);

/// Serialised configuration that is served in parts to starting peers.
pub(crate) struct SerializedConfig {
    pub(crate) version: u64,
    digest: u64,
    bytes: Vec<u8>,
}

impl SerializedConfig {
    /// Serialises a configuration. The offset that the snapshot covers is set to the
    /// version instead of this host's read position, so that equal configurations
    /// give equal bytes on all hosts.
    pub(crate) fn new(config: &Config) -> Result<Self, String> {
        let version = config.version();
        let bytes = match version {
            0 => Vec::new(),
            _ => canonical_json(&whole_snapshot(config, version))?.into_bytes(),
        };
        Ok(Self { version, digest: digest(&bytes), bytes })
    }

    /// The part that starts at the requested byte.
    pub(crate) fn reply(&self, request: &ConfigRequest) -> ConfigReply {
        let from = (request.from_byte as usize).min(self.bytes.len());
        let to = (from + MAX_PART_BYTES).min(self.bytes.len());
        ConfigReply {
            digest: self.digest,
            from_byte: from as u32,
            part: self.bytes[from..to].to_vec(),
            total_bytes: self.bytes.len() as u32,
            version: self.version,
        }
    }
}

/// Version, digest and size of the configuration that a peer offers.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Offer {
    version: u64,
    digest: u64,
    total_bytes: u32,
}

impl Offer {
    fn of(reply: &ConfigReply) -> Self {
        Self { version: reply.version, digest: reply.digest, total_bytes: reply.total_bytes }
    }
}

/// Fetches the newest configuration that at least two peers offer, or the one of
/// the only peer that replies.
pub(crate) fn fetch_snapshot<S: SnapshotSource>(
    source: &S,
    deadline: Instant,
) -> Result<Snapshot, String> {
    let mut hosts = source.hosts();
    hosts.shuffle(&mut rand::rng());
    hosts.truncate(MAX_QUERIED_HOSTS);
    let mut offers = Vec::new();
    for host in hosts {
        let until = deadline.min(Instant::now() + REPLY_TIMEOUT);
        if let Ok(reply) = source.request(&host, ConfigRequest { from_byte: 0 }, until) {
            offers.push((Offer::of(&reply), host));
        }
    }
    let (offer, hosts) = select_offer(offers)?;
    let bytes = download(source, offer, &hosts, deadline)?;
    if digest(&bytes) != offer.digest {
        return Err(format!("digest mismatch in the configuration of version {}", offer.version));
    }
    let snapshot: Snapshot = serde_json::from_slice(&bytes).map_err(|e| e.to_string())?;
    if snapshot.version != offer.version {
        return Err(format!("received version {} instead of {}", snapshot.version, offer.version));
    }
    Ok(snapshot)
}

/// Selects the newest offer that enough peers make, and returns it with these peers.
fn select_offer(mut offers: Vec<(Offer, HostId)>) -> Result<(Offer, Vec<HostId>), String> {
    if offers.is_empty() {
        return Err("no peer replied".to_owned());
    }
    let single_reply = offers.len() == 1;
    offers.retain(|(offer, _)| {
        offer.version > 0 && offer.total_bytes > 0 && offer.total_bytes <= MAX_SNAPSHOT_BYTES
    });
    offers.sort_by_key(|(offer, _)| std::cmp::Reverse(*offer));
    let min_hosts = if single_reply { 1 } else { 2 };
    for group in offers.chunk_by(|a, b| a.0 == b.0) {
        if group.len() >= min_hosts {
            return Ok((group[0].0, group.iter().map(|(_, host)| host.clone()).collect()));
        }
    }
    Err("no two peers agree on a configuration".to_owned())
}

fn download<S: SnapshotSource>(
    source: &S,
    offer: Offer,
    hosts: &[HostId],
    deadline: Instant,
) -> Result<Vec<u8>, String> {
    let mut bytes = Vec::new();
    let mut failures = 0;
    while bytes.len() < offer.total_bytes as usize {
        // if a host fails, the download continues from the next one with the same offer
        let Some(host) = hosts.get(failures) else {
            return Err(format!(
                "all peers that offered version {} failed during the download",
                offer.version
            ));
        };
        let until = deadline.min(Instant::now() + REPLY_TIMEOUT);
        if Instant::now() >= deadline {
            return Err("deadline exceeded during the download".to_owned());
        }
        let from_byte = bytes.len() as u32;
        let reply = source.request(host, ConfigRequest { from_byte }, until);
        let left = offer.total_bytes as usize - bytes.len();
        match reply {
            Ok(reply)
                if Offer::of(&reply) == offer
                    && reply.from_byte == from_byte
                    && !reply.part.is_empty()
                    && reply.part.len() <= left =>
            {
                bytes.extend(reply.part);
            }
            _ => failures += 1,
        }
    }
    Ok(bytes)
}
