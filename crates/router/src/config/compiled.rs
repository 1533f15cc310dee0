use {
    super::{
        endpoint_info::EndpointInfo,
        key_map::{KeyMap, Keyed},
        pool_info::PoolInfo,
        route_info::RouteInfo,
        route_table::RouteTable,
        team_info::TeamInfo,
        tombstones::Tombstones,
        work_info::WorkInfo,
    },
    mango_config::{ObjectName, PrecedingChange, Rejection, check_object, object_name},
    mango_wire::{
        EndpointKey, PoolKey, TeamKey, WorkKey,
        config::{Change, ConfigObject, DeletedObject, ObjectKind, VersionedObject},
        endpoint_key, pool_key, team_key, work_key,
    },
    std::{collections::BTreeSet, sync::Arc},
};

/// Compiled configuration at one version. Clones share all unchanged data.
#[derive(Clone, Default)]
pub(crate) struct Config {
    version: u64,
    endpoints: KeyMap<EndpointInfo>,
    pools: KeyMap<PoolInfo>,
    teams: KeyMap<TeamInfo>,
    works: KeyMap<WorkInfo>,
    routes: Arc<RouteTable>,
    deleted: Arc<Tombstones>,
}

impl Config {
    /// Compiles the contents of a snapshot. `deleted_floor` is the highest version
    /// of a delete that is no longer listed in `deleted`; 0 if all are. Returns a
    /// rejection for the first invalid object.
    pub(crate) fn from_objects(
        version: u64,
        objects: Vec<VersionedObject>,
        deleted: Vec<DeletedObject>,
        deleted_floor: u64,
    ) -> Result<Self, Rejection> {
        let mut config = Self { version, ..Self::default() };
        let mut tombstones = Tombstones::default();
        tombstones.raise_floor(deleted_floor);
        for entry in &deleted {
            tombstones.insert(ObjectName::from(&entry.key), entry.version);
        }
        config.deleted = Arc::new(tombstones);
        let mut touched = TouchedObjects::default();
        for entry in objects {
            let name = object_name(&entry.object);
            if entry.version > version {
                return Err(rejection(&name, "its version is above that of the snapshot"));
            }
            if config.object_version(&name).is_some() || touched.routes.contains(&name.id) {
                return Err(rejection(&name, "occurs twice"));
            }
            config.put(entry.object, entry.version, &mut touched)?;
        }
        config.finish_update(&touched)?;
        Ok(config)
    }

    /// Applies a change that the log stores at `offset`. Returns the resulting
    /// configuration with version `offset`, or the reason for the rejection.
    /// Deterministic, so that all routers decide alike: the result depends only
    /// on this configuration and the arguments.
    pub(crate) fn decide(&self, change: &Change, offset: u64) -> Result<Self, Rejection> {
        if change.based_on > self.version {
            let detail = format!(
                "made against version {}, but version {} is in force",
                change.based_on, self.version
            );
            return Err(change_rejection(detail));
        }
        if offset <= self.version {
            return Err(change_rejection(format!(
                "offset {offset} is not above version {}",
                self.version
            )));
        }
        if change.put.is_empty() && change.delete.is_empty() {
            return Err(change_rejection("the change has no objects".to_owned()));
        }
        self.check_conflicts(change)?;
        let mut next = self.clone();
        next.version = offset;
        let mut touched = TouchedObjects::default();
        for key in &change.delete {
            next.delete(&ObjectName::from(key), offset, &mut touched)?;
        }
        for object in &change.put {
            check_object(object).map_err(|problem| {
                rejection(&problem.object, format!("{}: {}", problem.path, problem.detail))
            })?;
            next.put(object.clone(), offset, &mut touched)?;
        }
        next.finish_update(&touched)?;
        Ok(next)
    }

    /// Rejects a change that touches an object which was written or deleted
    /// after the version that the change is based on.
    fn check_conflicts(&self, change: &Change) -> Result<(), Rejection> {
        let put = change.put.iter().map(object_name);
        let delete = change.delete.iter().map(ObjectName::from);
        let mut touched = BTreeSet::new();
        for name in put.chain(delete) {
            let version = self.object_version(&name).or_else(|| self.deleted.version(&name));
            match version {
                Some(version) if version > change.based_on => {
                    let detail = format!(
                        "changed at version {version}, after version {} that the change was made \
                         against",
                        change.based_on
                    );
                    let preceding = PrecedingChange { version, change_id: None, author: None };
                    return Err(Rejection {
                        preceded_by: Some(preceding),
                        ..rejection(&name, detail)
                    });
                }
                None if self.deleted.floor() > change.based_on => {
                    let detail = format!(
                        "made against version {}, older than the deletes that are still known",
                        change.based_on
                    );
                    return Err(rejection(&name, detail));
                }
                _ => {}
            }
            if !touched.insert(name.clone()) {
                return Err(rejection(&name, "occurs twice in the change"));
            }
        }
        Ok(())
    }

    fn delete(
        &mut self,
        name: &ObjectName,
        offset: u64,
        touched: &mut TouchedObjects,
    ) -> Result<(), Rejection> {
        if self.object_version(name).is_none() {
            return Err(rejection(name, "does not exist"));
        }
        match name.kind {
            ObjectKind::Endpoint => {
                self.endpoints.remove(endpoint_key(&name.id));
                touched.endpoints.insert(name.id.clone());
            }
            ObjectKind::Pool => {
                self.pools.remove(pool_key(&name.id));
                touched.deleted_pools.insert(name.id.clone());
            }
            ObjectKind::Team => {
                self.teams.remove(team_key(&name.id));
            }
            ObjectKind::Work => {
                self.works.remove(work_key(&name.id));
                touched.deleted_works.insert(name.id.clone());
            }
            ObjectKind::Route => {
                touched.edit_routes(self).remove(&name.id);
            }
        }
        Arc::make_mut(&mut self.deleted).insert(name.clone(), offset);
        Ok(())
    }

    fn put(
        &mut self,
        object: ConfigObject,
        version: u64,
        touched: &mut TouchedObjects,
    ) -> Result<(), Rejection> {
        let name = object_name(&object);
        if let Some(other) = self.id_at_key(&name).filter(|id| *id != name.id) {
            let detail = format!("its key collides with that of {other}; choose another id");
            return Err(rejection(&name, detail));
        }
        let invalid = |detail: String| rejection(&name, detail);
        match object {
            ConfigObject::Endpoint(endpoint) => {
                let info = EndpointInfo::new(endpoint, version).map_err(invalid)?;
                self.endpoints.insert(Arc::new(info));
                touched.endpoints.insert(name.id.clone());
            }
            ConfigObject::Pool(pool) => {
                let info = PoolInfo::new(pool, version).map_err(|e| invalid(e.to_string()))?;
                self.pools.insert(Arc::new(info));
                touched.pools.insert(name.id.clone());
            }
            ConfigObject::Team(team) => self.teams.insert(Arc::new(TeamInfo::new(team, version))),
            ConfigObject::Work(work) => self.works.insert(Arc::new(WorkInfo::new(work, version))),
            ConfigObject::Route(route) => {
                let info = RouteInfo::new(route, version).map_err(|e| invalid(e.to_string()))?;
                touched.edit_routes(self).insert(name.id.clone(), Arc::new(info));
                touched.routes.insert(name.id.clone());
            }
        }
        if self.deleted.version(&name).is_some() {
            Arc::make_mut(&mut self.deleted).remove(&name);
        }
        Ok(())
    }

    /// Rebuilds the route table, checks references and updates pool members.
    fn finish_update(&mut self, touched: &TouchedObjects) -> Result<(), Rejection> {
        if let Some(routes) = &touched.edited_routes {
            self.routes = Arc::new(RouteTable::new(routes.clone()));
        }
        self.check_references(touched)?;
        self.update_pools(touched);
        Ok(())
    }

    fn check_references(&self, touched: &TouchedObjects) -> Result<(), Rejection> {
        let routes = self.routes.by_id();
        let changed = touched.routes.iter().filter_map(|id| routes.get(id));
        let orphaned =
            routes.values().filter(|route| touched.deleted_pools.contains(route.pool_id()));
        for route in changed.chain(orphaned) {
            let pool = route.pool_id();
            if self.pools.get_id(pool_key(pool), pool).is_none() {
                let name = ObjectName::new(ObjectKind::Route, &route.id);
                return Err(rejection(&name, format!("pool: pool/{pool} does not exist")));
            }
        }
        let changed =
            touched.endpoints.iter().filter_map(|id| self.endpoints.get_id(endpoint_key(id), id));
        for endpoint in changed {
            self.check_repeatable(endpoint)?;
        }
        if touched.deleted_works.is_empty() {
            return Ok(());
        }
        self.endpoints.iter().try_for_each(|endpoint| self.check_repeatable(endpoint))
    }

    fn check_repeatable(&self, endpoint: &EndpointInfo) -> Result<(), Rejection> {
        let missing = endpoint.repeatable.iter().find(|id| self.work(id).is_none());
        match missing {
            Some(id) => {
                let name = ObjectName::new(ObjectKind::Endpoint, &endpoint.id);
                Err(rejection(&name, format!("repeatable: work/{id} does not exist")))
            }
            None => Ok(()),
        }
    }

    /// Selects the endpoints again for each pool whose own definition or members
    /// may have changed.
    fn update_pools(&mut self, touched: &TouchedObjects) {
        let changed: Vec<_> = touched
            .endpoints
            .iter()
            .filter_map(|id| self.endpoints.get_id(endpoint_key(id), id))
            .collect();
        let affected = |pool: &PoolInfo| {
            touched.pools.contains(&pool.id)
                || touched.endpoints.iter().any(|id| pool.contains(id))
                || changed.iter().any(|endpoint| pool.selects(endpoint))
        };
        let pools: Vec<_> = self
            .pools
            .iter()
            .filter(|pool| affected(pool))
            .map(|pool| Arc::new(pool.with_endpoints(self.endpoints.iter())))
            .collect();
        for pool in pools {
            self.pools.insert(pool);
        }
    }

    /// Version of the configuration; 0 if none is in force.
    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    /// Team by id.
    pub(crate) fn team(&self, id: &str) -> Option<&Arc<TeamInfo>> {
        self.teams.get_id(team_key(id), id)
    }

    /// Team by key.
    pub(crate) fn team_by_key(&self, key: TeamKey) -> Option<&Arc<TeamInfo>> {
        self.teams.get(key)
    }

    /// Kind of work by id.
    pub(crate) fn work(&self, id: &str) -> Option<&Arc<WorkInfo>> {
        self.works.get_id(work_key(id), id)
    }

    /// Kind of work by key.
    pub(crate) fn work_by_key(&self, key: WorkKey) -> Option<&Arc<WorkInfo>> {
        self.works.get(key)
    }

    /// Endpoint by key.
    pub(crate) fn endpoint(&self, key: EndpointKey) -> Option<&Arc<EndpointInfo>> {
        self.endpoints.get(key)
    }

    /// Endpoint by id.
    pub(crate) fn endpoint_by_id(&self, id: &str) -> Option<&Arc<EndpointInfo>> {
        self.endpoints.get_id(endpoint_key(id), id)
    }

    /// All endpoints, in an order that depends only on their keys.
    pub(crate) fn endpoints(&self) -> impl Iterator<Item = &Arc<EndpointInfo>> {
        self.endpoints.iter()
    }

    /// Pool by key.
    pub(crate) fn pool(&self, key: PoolKey) -> Option<&Arc<PoolInfo>> {
        self.pools.get(key)
    }

    /// All teams, in an order that depends only on their keys.
    pub(crate) fn teams(&self) -> impl Iterator<Item = &Arc<TeamInfo>> {
        self.teams.iter()
    }

    /// All kinds of work, in an order that depends only on their keys.
    pub(crate) fn works(&self) -> impl Iterator<Item = &Arc<WorkInfo>> {
        self.works.iter()
    }

    /// All pools, in an order that depends only on their keys.
    pub(crate) fn pools(&self) -> impl Iterator<Item = &Arc<PoolInfo>> {
        self.pools.iter()
    }

    /// All routes ordered by id.
    pub(crate) fn routes(&self) -> impl Iterator<Item = &Arc<RouteInfo>> {
        self.routes.by_id().values()
    }

    /// Pools that the work may use, without duplicates, in the order of the ids
    /// of the admitting routes. `service` is the service in the request path,
    /// `None` for model work.
    pub(crate) fn pools_for(
        &self,
        team: &TeamInfo,
        work: &WorkInfo,
        service: Option<&str>,
    ) -> Vec<Arc<PoolInfo>> {
        let mut pools: Vec<Arc<PoolInfo>> = Vec::new();
        for route in self.routes.admitting(team, work, service) {
            let Some(pool) = self.pools.get(route.pool) else { continue };
            if pools.iter().all(|known| known.key != pool.key) {
                pools.push(pool.clone());
            }
        }
        pools
    }

    /// Tombstones of deleted objects.
    pub(crate) fn deleted(&self) -> &Tombstones {
        &self.deleted
    }

    /// Number of objects of all kinds.
    pub(crate) fn len(&self) -> usize {
        self.endpoints.len()
            + self.pools.len()
            + self.teams.len()
            + self.works.len()
            + self.routes.by_id().len()
    }

    /// All objects with their versions, ordered by kind and id.
    pub(crate) fn objects(&self) -> Vec<VersionedObject> {
        let mut objects = Vec::with_capacity(self.len());
        objects
            .extend(self.endpoints.iter().map(|info| versioned(info.to_endpoint(), info.version)));
        objects.extend(self.pools.iter().map(|info| versioned(info.to_pool(), info.version)));
        objects.extend(self.teams.iter().map(|info| versioned(info.to_team(), info.version)));
        objects.extend(self.works.iter().map(|info| versioned(info.to_work(), info.version)));
        objects.extend(self.routes().map(|info| versioned(info.to_route(), info.version)));
        objects.sort_by_cached_key(|entry| object_name(&entry.object));
        objects
    }

    /// Version at which an object was last written, if it exists.
    pub(crate) fn object_version(&self, name: &ObjectName) -> Option<u64> {
        let id = &name.id;
        match name.kind {
            ObjectKind::Endpoint => {
                self.endpoints.get_id(endpoint_key(id), id).map(|info| info.version())
            }
            ObjectKind::Pool => self.pools.get_id(pool_key(id), id).map(|info| info.version()),
            ObjectKind::Team => self.team(id).map(|info| info.version()),
            ObjectKind::Work => self.work(id).map(|info| info.version()),
            ObjectKind::Route => self.routes.by_id().get(id).map(|info| info.version),
        }
    }

    /// Id of the object that is stored under the key of `name`. It differs from the
    /// id in `name` if the keys of the two ids collide. Routes are stored by id.
    fn id_at_key(&self, name: &ObjectName) -> Option<&str> {
        match name.kind {
            ObjectKind::Endpoint => {
                self.endpoints.get(endpoint_key(&name.id)).map(|info| info.id())
            }
            ObjectKind::Pool => self.pools.get(pool_key(&name.id)).map(|info| info.id()),
            ObjectKind::Team => self.teams.get(team_key(&name.id)).map(|info| info.id()),
            ObjectKind::Work => self.works.get(work_key(&name.id)).map(|info| info.id()),
            ObjectKind::Route => None,
        }
    }
}

/// Objects that one change or snapshot creates, replaces or deletes. Only data that
/// depends on them is checked and recomputed.
#[derive(Default)]
struct TouchedObjects {
    endpoints: BTreeSet<String>,
    pools: BTreeSet<String>,
    routes: BTreeSet<String>,
    deleted_pools: BTreeSet<String>,
    deleted_works: BTreeSet<String>,
    /// Copy of all routes with the edits, made at the first edit of a route.
    edited_routes: Option<RouteMap>,
}

type RouteMap = std::collections::BTreeMap<String, Arc<RouteInfo>>;

impl TouchedObjects {
    fn edit_routes(&mut self, config: &Config) -> &mut RouteMap {
        self.edited_routes.get_or_insert_with(|| config.routes.by_id().clone())
    }
}

fn versioned(object: impl Into<ConfigObject>, version: u64) -> VersionedObject {
    VersionedObject { object: object.into(), version }
}

fn rejection(name: &ObjectName, detail: impl Into<String>) -> Rejection {
    Rejection { object: Some(name.to_key()), preceded_by: None, detail: detail.into() }
}

fn change_rejection(detail: String) -> Rejection {
    Rejection { object: None, preceded_by: None, detail }
}
