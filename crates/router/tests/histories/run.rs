use {
    crate::{
        fleet::{BOOKING, CHAT, ProxiedFleet, SERVICE, TEAM, agent, get, post},
        history::{
            Answer, Call, ConfigChange, ConfigSample, Execution, FinalConfig, History,
            LeftEndpoint, PlannedStop, Work,
        },
        plan::{Fault, PlannedFault, RunPlan},
    },
    anyhow::{Result, ensure},
    mango_standins::{Outage, expected_answer},
    mango_testkit::{Caller, ChatTurn},
    mango_wire::{
        config::{Change, ConfigObject, ConfigRecord, Team},
        platform::LogRecord,
        records::{ClaimBatch, ClaimEntry},
    },
    parking_lot::Mutex,
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    serde_json::Value,
    std::{
        collections::HashMap,
        sync::atomic::{AtomicBool, Ordering},
        thread,
        time::{Duration, Instant},
    },
    uuid::Uuid,
};

// With the default lease of 1,000 ms, routers must stop new requests to an endpoint within
// 3 s of its leave; scaled to the lease of 150 ms in these runs. The interval of 250 ms
// between reads of an engine's load report is not scaled, and is added.
const LEAVE_GRACE: Duration = Duration::from_millis(450 + 250);
const CALLER_TIMEOUT: Duration = Duration::from_millis(1500);
const SAMPLE_INTERVAL: Duration = Duration::from_millis(40);
const SETTLE_TIMEOUT: Duration = Duration::from_secs(3);
const STOP_TIMEOUT: Duration = Duration::from_secs(5);
const MAX_BOOKING_CALLS: usize = 3;

/// State that the threads of a run share.
struct Run<'a> {
    plan: &'a RunPlan,
    fleet: &'a ProxiedFleet,
    history: Mutex<History>,
    /// Ends the threads that sample configurations.
    ended: AtomicBool,
}

/// Executes a plan and returns the history of the run.
pub(crate) fn run(plan: &RunPlan) -> Result<History> {
    let fleet = ProxiedFleet::spawn(plan)?;
    if plan.has(Fault::SplitHosts) {
        fleet.platform.set_host_list_lag(Duration::from_millis(500));
    }
    let run = Run { plan, fleet: &fleet, history: Mutex::default(), ended: AtomicBool::new(false) };
    let began = Instant::now();
    thread::scope(|scope| {
        let faults = scope.spawn(|| run.inject_faults(began));
        let callers: Vec<_> = (0..plan.callers)
            .map(|index| {
                let run = &run;
                scope.spawn(move || run.run_caller(index, began))
            })
            .collect();
        let operators: Vec<_> = (0..2)
            .filter(|_| plan.has(Fault::RacingChanges))
            .map(|index| {
                let run = &run;
                scope.spawn(move || run.run_operator(index, began))
            })
            .collect();
        for host in 0..plan.routers {
            let run = &run;
            scope.spawn(move || run.sample_config(host));
        }
        for caller in callers {
            caller.join().expect("caller thread");
        }
        let faults = faults.join().expect("fault thread");
        for operator in operators {
            operator.join().expect("operator thread");
        }
        let settled = run.record_final_configs();
        run.ended.store(true, Ordering::SeqCst);
        faults.and(settled)
    })?;
    run.record_executions();
    Ok(run.history.into_inner())
}

impl Run<'_> {
    /// Begins and ends the planned faults at their times.
    fn inject_faults(&self, began: Instant) -> Result<()> {
        let mut events: Vec<(u64, bool, &PlannedFault)> = Vec::new();
        for planned in &self.plan.faults {
            events.push((planned.begins_ms, true, planned));
            events.push((planned.begins_ms + planned.lasts_ms, false, planned));
        }
        events.sort_by_key(|(at_ms, ..)| *at_ms);
        for (at_ms, begins, planned) in events {
            sleep_until(began + Duration::from_millis(at_ms));
            if begins {
                self.begin_fault(planned)?;
            } else {
                self.end_fault(planned)?;
            }
        }
        Ok(())
    }

    fn begin_fault(&self, planned: &PlannedFault) -> Result<()> {
        let fleet = self.fleet;
        let host = planned.host;
        match planned.fault {
            Fault::Crash => {
                let mut router = fleet.routers[host].lock();
                router.is_running = false;
                router.process.kill()?;
            }
            Fault::Pause => fleet.routers[host].lock().process.pause()?,
            Fault::LostAppendAnswers => {
                fleet.platform.set_append_response_loss(0.3, self.plan.seed);
            }
            Fault::LogOutage => fleet.platform.set_log_outage(Outage::Refuse),
            Fault::LogCut => fleet.log_proxies[host].freeze(),
            Fault::SplitHosts => {
                fleet.platform.remove_host(&format!("host-{host}"));
                fleet.peer_proxies[host].freeze();
            }
            Fault::EndpointFlap => {
                fleet.engines[1].crash();
                fleet.service.crash();
            }
            Fault::LateAnswers => fleet.endpoint_proxies.iter().for_each(|proxy| proxy.freeze()),
            Fault::EndpointLeave => {
                fleet.engines[0].set_leaving();
                let left = LeftEndpoint {
                    left_at: Instant::now(),
                    grace: LEAVE_GRACE,
                    new_request_times: Vec::new(),
                };
                self.history.lock().left_endpoints.push(left);
            }
            Fault::PlannedStop | Fault::OperatorDrain => self.request_stop(planned)?,
            Fault::RacingChanges => {}
        }
        Ok(())
    }

    fn request_stop(&self, planned: &PlannedFault) -> Result<()> {
        let host = planned.host;
        self.history.lock().planned_stops.push(PlannedStop { host, requested_at: Instant::now() });
        if planned.fault == Fault::PlannedStop {
            return self.fleet.routers[host].lock().process.terminate();
        }
        let agent = agent(Duration::from_secs(1));
        let (status, _) = post(&agent, self.fleet.hosts[host].operators, "/drain", "")?;
        ensure!(status == 202, "POST /drain returned status {status}");
        Ok(())
    }

    fn end_fault(&self, planned: &PlannedFault) -> Result<()> {
        let fleet = self.fleet;
        let host = planned.host;
        match planned.fault {
            Fault::Crash => fleet.restart_host(host)?,
            Fault::Pause => fleet.routers[host].lock().process.resume()?,
            Fault::LostAppendAnswers => fleet.platform.set_append_response_loss(0.0, 0),
            Fault::LogOutage => fleet.platform.set_log_outage(Outage::None),
            Fault::LogCut => fleet.log_proxies[host].resume(),
            Fault::SplitHosts => fleet.peer_proxies[host].resume(),
            Fault::EndpointFlap => {
                fleet.engines[1].restart();
                fleet.service.restart();
            }
            Fault::LateAnswers => fleet.endpoint_proxies.iter().for_each(|proxy| proxy.resume()),
            Fault::PlannedStop | Fault::OperatorDrain => {
                let mut router = fleet.routers[host].lock();
                router.is_running = false;
                let ended = router.process.wait(STOP_TIMEOUT)?;
                ensure!(
                    ended.is_some(),
                    "host-{host} did not exit within {STOP_TIMEOUT:?} of a planned stop"
                );
            }
            Fault::EndpointLeave | Fault::RacingChanges => {}
        }
        Ok(())
    }

    fn run_caller(&self, index: usize, began: Instant) {
        let mut random = SmallRng::seed_from_u64(self.plan.seed ^ ((index as u64 + 1) << 32));
        let caller = Caller::new(CALLER_TIMEOUT);
        let ends = began + Duration::from_millis(self.plan.run_ms);
        let mut number = 0;
        while Instant::now() < ends {
            let name = format!("{}-{index}-{number}", self.plan.seed);
            number += 1;
            if random.random_bool(0.6) {
                self.book(&caller, &name, &mut random);
            } else {
                self.chat(&caller, &name, &mut random);
            }
            thread::sleep(Duration::from_millis(random.random_range(2..20)));
        }
    }

    /// Sends a booking and, until it is answered, repeats it through other routers.
    /// Some bookings go to two routers at the same time or are repeated after an answer.
    fn book(&self, caller: &Caller, name: &str, random: &mut SmallRng) {
        let key = Uuid::now_v7().to_string();
        let body = format!("{{\"booking\":\"{name}\"}}");
        let mut host = random.random_range(0..self.plan.routers);
        let sends_twice = random.random_bool(0.15);
        let repeats_when_answered = random.random_bool(0.2);
        for _ in 0..MAX_BOOKING_CALLS {
            let other = (host + 1) % self.plan.routers;
            let is_answered = if sends_twice {
                thread::scope(|scope| {
                    let second = scope.spawn(|| self.book_once(caller, other, &key, &body));
                    let first = self.book_once(caller, host, &key, &body);
                    second.join().expect("repeat thread") && first
                })
            } else {
                self.book_once(caller, host, &key, &body)
            };
            if is_answered && !repeats_when_answered {
                return;
            }
            host = other;
        }
    }

    /// Returns whether the answer shows that the booking ran.
    fn book_once(&self, caller: &Caller, host: usize, key: &str, body: &str) -> bool {
        let started = Instant::now();
        let path = format!("/services/{SERVICE}/book");
        let address = self.fleet.hosts[host].callers;
        let reply = caller.service(address, (TEAM, BOOKING), &path, Some(key), body);
        let text = |name: &str| reply.body[name].as_str().unwrap_or_default().to_owned();
        let answer = Answer {
            status: reply.status,
            request_id: reply.request_id.clone(),
            verdict: reply.verdict.clone(),
            reason: reply.reason.clone(),
            complete: reply.status == 200 && reply.body.is_object(),
            text: String::new(),
            executed_digest: text("body_digest"),
            executed_attempt_id: text("request_id"),
        };
        let is_answered = answer.complete;
        let body_digest = format!("{:016x}", mango_wire::digest(body.as_bytes()));
        let work = Work::Booking { key: key.to_owned(), body_digest };
        self.record_call(Call { host, work, started, ended: Instant::now(), answer });
        is_answered
    }

    fn chat(&self, caller: &Caller, name: &str, random: &mut SmallRng) {
        let host = random.random_range(0..self.plan.routers);
        let tokens = random.random_range(2..12);
        let mut turn = ChatTurn::new(TEAM, CHAT, name, tokens).chat(&format!("chat-{name}"));
        turn.stream = random.random_bool(0.6);
        let started = Instant::now();
        let reply = caller.chat(self.fleet.hosts[host].callers, &turn);
        let answer = Answer {
            status: reply.status,
            request_id: reply.request_id,
            verdict: reply.verdict,
            reason: reply.reason,
            complete: reply.complete,
            text: reply.text,
            ..Answer::default()
        };
        let work = Work::Chat { expected: expected_answer(name, tokens) };
        self.record_call(Call { host, work, started, ended: Instant::now(), answer });
    }

    fn record_call(&self, call: Call) {
        self.history.lock().calls.push(call);
    }

    /// Acts as one operator, who changes a team that all operators share and an own team.
    fn run_operator(&self, index: usize, began: Instant) {
        let mut random = SmallRng::seed_from_u64(self.plan.seed ^ ((index as u64 + 1) << 48));
        let agent = agent(Duration::from_millis(800));
        let ends = began + Duration::from_millis(self.plan.run_ms);
        let mut number = 0;
        while Instant::now() < ends {
            thread::sleep(Duration::from_millis(random.random_range(10..60)));
            let address = self.fleet.hosts[random.random_range(0..self.plan.routers)].operators;
            let target = self.fleet.hosts[random.random_range(0..self.plan.routers)].operators;
            let weight = f64::from(random.random_range(1..100));
            let Ok(listing) = get(&agent, address, "/config?kind=team&id=gold") else { continue };
            number += 1;
            let change = Change {
                author: format!("operator-{index}"),
                based_on: listing["version"].as_u64().unwrap_or_default(),
                change_id: format!("{}-{index}-{number}", self.plan.seed),
                delete: Vec::new(),
                made_at_ms: 0,
                put: vec![team("shared", weight), team(&format!("own-{index}"), weight)],
            };
            let body = serde_json::to_string(&change).expect("changes serialise");
            if let Ok((200, reply)) = post(&agent, target, "/config", &body) {
                let version = reply["version"].as_u64().unwrap_or_default();
                self.history.lock().accepted_versions.push(version);
            }
        }
    }

    /// Samples a router's configuration at intervals. A sample is dropped if the router's
    /// process stopped or was replaced meanwhile.
    fn sample_config(&self, host: usize) {
        let agent = agent(Duration::from_millis(300));
        let number = || {
            let router = self.fleet.routers[host].lock();
            router.is_running.then_some(router.number)
        };
        while !self.ended.load(Ordering::SeqCst) {
            thread::sleep(SAMPLE_INTERVAL);
            let before = number();
            let Ok(listing) = get(&agent, self.fleet.hosts[host].operators, "/config") else {
                continue;
            };
            let (Some(process), true) = (before, before == number()) else { continue };
            let sample = ConfigSample {
                process,
                version: listing["version"].as_u64().unwrap_or_default(),
                content: listing["objects"].to_string(),
            };
            self.history.lock().config_samples.push(sample);
        }
    }

    /// Waits until all running routers have the newest accepted change, and records
    /// their configurations.
    fn record_final_configs(&self) -> Result<()> {
        let changes = self.accepted_changes()?;
        let newest = changes.iter().map(|change| change.version).max().unwrap_or_default();
        let agent = agent(Duration::from_millis(500));
        let deadline = Instant::now() + SETTLE_TIMEOUT;
        for (host, router) in self.fleet.routers.iter().enumerate() {
            let process = {
                let mut router = router.lock();
                // a restarted router ends if its port was taken meanwhile
                let has_ended = router.process.wait(Duration::ZERO)?.is_some();
                if !router.is_running || has_ended {
                    continue;
                }
                router.number
            };
            let mut last = FinalConfig { process, version: 0, objects: Vec::new() };
            while last.version < newest && Instant::now() < deadline {
                if let Ok(listing) = get(&agent, self.fleet.hosts[host].operators, "/config") {
                    last.version = listing["version"].as_u64().unwrap_or_default();
                    last.objects = listed_objects(&listing);
                }
                thread::sleep(Duration::from_millis(10));
            }
            self.history.lock().final_configs.push(last);
        }
        self.history.lock().config_changes = changes;
        Ok(())
    }

    /// Changes that are accepted if the log's records are applied in order: no object of
    /// an accepted change has a version above the one that the change is based on.
    fn accepted_changes(&self) -> Result<Vec<ConfigChange>> {
        let mut versions: HashMap<String, u64> = HashMap::new();
        let mut changes = Vec::new();
        for record in self.fleet.platform.records("config") {
            let ConfigRecord::Change(change) = serde_json::from_str(&record.body)? else {
                continue;
            };
            let objects: Vec<_> = change.put.iter().map(name_and_content).collect();
            let is_current = objects
                .iter()
                .all(|(name, _)| versions.get(name).is_none_or(|v| *v <= change.based_on));
            if !is_current {
                continue;
            }
            for (object, content) in objects {
                versions.insert(object.clone(), record.offset);
                changes.push(ConfigChange { version: record.offset, object, content });
            }
        }
        Ok(changes)
    }

    /// Records the endpoints' executions, the log's records and the requests that an endpoint
    /// refused after its leave.
    fn record_executions(&self) {
        let mut history = self.history.lock();
        for execution in self.fleet.service.executions() {
            history.executions.push(Execution {
                attempt_id: execution.request_id,
                key: execution.idempotency_key,
                started: execution.started,
            });
        }
        for engine in &self.fleet.engines {
            for execution in engine.executions() {
                history.executions.push(Execution {
                    attempt_id: execution.request_id,
                    key: None,
                    started: execution.started,
                });
            }
        }
        for stream in self.fleet.platform.stream_names() {
            if stream != "config" {
                let records = self.fleet.platform.records(&stream);
                let line = |r: &LogRecord| format!("{stream} {} {} {}", r.offset, r.at_ms, r.body);
                history.records.extend(records.iter().map(line));
                let uncertain = records.iter().filter_map(uncertain_before_ms).max();
                history.uncertain_before_ms =
                    history.uncertain_before_ms.max(uncertain.unwrap_or_default());
            }
        }
        if let Some(left) = history.left_endpoints.first_mut() {
            left.new_request_times = self.fleet.engines[0].refused_leaving();
        }
    }
}

/// Latest `uncertain_before_ms` of the fences in a batch of claims.
fn uncertain_before_ms(record: &LogRecord) -> Option<u64> {
    let batch: ClaimBatch = serde_json::from_str(&record.body).ok()?;
    let fences = batch.entries.iter().filter_map(|entry| match entry {
        ClaimEntry::Fence(fence) => Some(fence.uncertain_before_ms),
        _ => None,
    });
    fences.max()
}

fn team(id: &str, weight: f64) -> ConfigObject {
    let labels = Default::default();
    ConfigObject::Team(Team { id: id.to_owned(), labels, weight, max_in_flight: 10 })
}

/// Kind and id of an object, and its content.
fn name_and_content(object: &ConfigObject) -> (String, String) {
    let value = serde_json::to_value(object).unwrap_or_default();
    (object_name(&value), value.to_string())
}

fn object_name(object: &Value) -> String {
    let (kind, value) = object.as_object().and_then(|o| o.iter().next()).expect("one kind");
    format!("{kind} {}", value["id"].as_str().unwrap_or_default())
}

fn listed_objects(listing: &Value) -> Vec<(String, String)> {
    let entries = listing["objects"].as_array().map_or(&[][..], |o| &o[..]);
    entries.iter().map(|e| (object_name(&e["object"]), e["object"].to_string())).collect()
}

fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}
