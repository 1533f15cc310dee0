use {
    super::KeyError,
    mango_wire::records::ClaimKey,
    uuid::{Uuid, Variant},
};

// The first 48 of the 128 bits of a version 7 UUID hold its issue time.
const TIMESTAMP_SHIFT_BITS: u32 = 80;

/// Identity of a non-idempotent request: its idempotency key and its team. Ordered by
/// issue time first.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) struct ClaimId {
    uuid: u128,
    team: String,
}

impl ClaimId {
    /// Parses an idempotency key of a team.
    pub(crate) fn parse(team: &str, key: &str) -> Result<Self, KeyError> {
        Ok(Self { uuid: parse_key(key)?.as_u128(), team: team.to_owned() })
    }

    /// Lower bound of the ids issued at `issued_ms` or later.
    pub(crate) fn first_issued_at(issued_ms: u64) -> Self {
        Self { uuid: u128::from(issued_ms) << TIMESTAMP_SHIFT_BITS, team: String::new() }
    }

    /// Issue time in milliseconds since 1970.
    pub(crate) fn issued_ms(&self) -> u64 {
        (self.uuid >> TIMESTAMP_SHIFT_BITS) as u64
    }

    /// The id in the form that is stored in the log.
    pub(crate) fn to_record(&self) -> ClaimKey {
        ClaimKey { key: Uuid::from_u128(self.uuid).to_string(), team: self.team.clone() }
    }
}

/// Issue time of an idempotency key in milliseconds since 1970.
///
/// Only the lower-case hyphenated form is accepted: the range of a key is derived from
/// a hash of its text, so two spellings of one UUID would be claimed in two ranges.
pub(crate) fn key_issued_at_ms(key: &str) -> Result<u64, KeyError> {
    Ok((parse_key(key)?.as_u128() >> TIMESTAMP_SHIFT_BITS) as u64)
}

fn parse_key(key: &str) -> Result<Uuid, KeyError> {
    let uuid = Uuid::try_parse(key).map_err(|_| KeyError::NotCanonical)?;
    let mut buffer = Uuid::encode_buffer();
    if &*uuid.hyphenated().encode_lower(&mut buffer) != key
        || uuid.get_variant() != Variant::RFC4122
    {
        return Err(KeyError::NotCanonical);
    }
    match uuid.get_version_num() {
        7 => Ok(uuid),
        version => Err(KeyError::WrongVersion(version)),
    }
}
