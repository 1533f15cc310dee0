//! A plain runner: registers in the store and answers requests for its instance.

use {
    crate::{
        config::HEARTBEAT_MS,
        http::{Head, Wire},
        record::Record,
        store::Store,
    },
    std::{
        collections::HashSet,
        io,
        net::TcpListener,
        sync::{Arc, Mutex},
        thread,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
};

/// What a runner does with a request, whose connection stays open if it returns without an error.
pub type Work = Box<dyn Fn(&Identity, &Head, &mut Wire) -> io::Result<()> + Send + Sync>;

/// Name and place of a runner, as its entry in the store says.
#[derive(Clone)]
pub struct Identity {
    pub id: String,
    pub service: &'static str,
    pub slots: u32,
    pub port: u16,
}

impl Identity {
    /// Writes the entry of the runner again and again.
    pub fn register(&self, store: &Store) {
        let (identity, store) = (self.clone(), store.clone());
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        let write = move |seq: u64| {
            let Identity { id, service, slots, port } = &identity;
            let entry = format!(
                "{{\"service\":\"{service}\",\"address\":\"127.0.0.1:{port}\",\"zone\":\"marmara-b\",\
                 \"version\":\"v1\",\"slots\":{slots},\"state\":\"ready\",\"coldRemainingMs\":0,\
                 \"seq\":{seq},\"born\":{born}}}"
            );
            store.put("keyed.servers", id, entry.as_bytes());
        };
        write(1);
        thread::spawn(move || {
            for seq in 2.. {
                thread::sleep(Duration::from_millis(HEARTBEAT_MS));
                write(seq);
            }
        });
    }

    /// Whether a request is for this instance.
    pub fn is_target(&self, head: &Head) -> bool {
        head.get("X-Target-Instance").is_none_or(|target| target == self.id)
    }

    /// Headers of an answer to a request that ran.
    pub fn signature(&self, head: &Head) -> String {
        let attempt = head.attempt();
        format!("X-Attempt-Id: {attempt}\r\nX-Server-Signature: {}.{attempt}\r\n", self.id)
    }
}

/// The attempts that the runners of a service have begun to run.
pub type Runs = Arc<Mutex<HashSet<String>>>;

/// Starts runners of a service that read each request whole, and then do `work` on it.
pub fn spawn_runners(
    store: &Store,
    record: &Arc<Record>,
    (service, count, slots): (&'static str, usize, u32),
    work: Work,
) -> io::Result<Runs> {
    let (work, runs) = (Arc::new(work), Runs::default());
    for number in 0..count {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let port = listener.local_addr()?.port();
        let identity = Identity { id: format!("{service}-{number}"), service, slots, port };
        identity.register(store);
        let (record, work, runs) = (record.clone(), work.clone(), runs.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let identity = identity.clone();
                let (record, work, runs) = (record.clone(), work.clone(), runs.clone());
                thread::spawn(move || {
                    let mut wire = Wire::new(stream);
                    while let Ok(head) = wire.read_head() {
                        if wire.read_exact(head.content_length()).is_err() {
                            return;
                        }
                        if !identity.is_target(&head) {
                            let _ = wire.respond("421 Misdirected Request", "", b"");
                            return;
                        }
                        record.write(&format!("run runner={} id={}", identity.id, head.attempt()));
                        runs.lock().expect("runs").insert(head.attempt().to_owned());
                        if work(&identity, &head, &mut wire).is_err() {
                            return;
                        }
                    }
                });
            }
        });
    }
    Ok(runs)
}
