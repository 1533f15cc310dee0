use {
    mango_wire::config::{ConfigObject, ObjectKey, ObjectKind},
    std::fmt,
};

/// Kind and id of a configuration object. Ordered by kind, then by id.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ObjectName {
    /// Kind of the object.
    pub kind: ObjectKind,
    /// Id, unique within the kind.
    pub id: String,
}

impl ObjectName {
    /// Returns the name of the object with this kind and id.
    pub fn new(kind: ObjectKind, id: impl Into<String>) -> Self {
        Self { kind, id: id.into() }
    }

    /// Converts the name to the form that log records and HTTP bodies use.
    pub fn to_key(&self) -> ObjectKey {
        ObjectKey { kind: self.kind, id: self.id.clone() }
    }
}

impl From<&ObjectKey> for ObjectName {
    fn from(key: &ObjectKey) -> Self {
        Self::new(key.kind, key.id.clone())
    }
}

impl fmt::Display for ObjectName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind, self.id)
    }
}

/// Returns the kind and id of an object without copying the id.
pub fn kind_and_id(object: &ConfigObject) -> (ObjectKind, &str) {
    match object {
        ConfigObject::Endpoint(endpoint) => (ObjectKind::Endpoint, &endpoint.id),
        ConfigObject::Pool(pool) => (ObjectKind::Pool, &pool.id),
        ConfigObject::Team(team) => (ObjectKind::Team, &team.id),
        ConfigObject::Work(work) => (ObjectKind::Work, &work.id),
        ConfigObject::Route(route) => (ObjectKind::Route, &route.id),
    }
}

/// Returns the name of an object.
pub fn object_name(object: &ConfigObject) -> ObjectName {
    let (kind, id) = kind_and_id(object);
    ObjectName::new(kind, id)
}
