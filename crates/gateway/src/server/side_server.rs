use {
    crate::{
        callers::Protocol,
        clock::BootInstant,
        http1::{Connection, RequestHead},
        server::Gateway,
        telemetry::event,
    },
    std::{rc::Rc, time::Duration},
    tokio::{
        io::AsyncWriteExt,
        net::{TcpListener, TcpStream},
        task::spawn_local,
        time::{sleep, timeout},
    },
};

const METRICS_PATH: &str = "/metrics";
const MAX_HEAD_BYTES: usize = 8_192;
/// A connection without a question for this long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Pause after a failed accept, for instance without free descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Answers the balancer's question for readiness, and reads of metrics.
pub(super) async fn serve_side<P: Protocol>(gateway: Rc<Gateway<P>>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                spawn_local(serve_connection(gateway.clone(), stream));
            }
            Err(error) => {
                event!("accept_failed", "reason={:?}", error.to_string());
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection<P: Protocol>(gateway: Rc<Gateway<P>>, stream: TcpStream) {
    let mut connection = Connection::new(stream);
    while let Ok(Some(head)) = timeout(IDLE_TIMEOUT, read_head(&mut connection)).await {
        let (status, body) = respond(&gateway, head.path());
        let closing = if head.keeps_alive { "" } else { "Connection: close\r\n" };
        let answer = format!(
            "HTTP/1.1 {status}\r\nContent-Type: text/plain\r\nContent-Length: {}\r\n{closing}\r\n{body}",
            body.len()
        );
        if connection.writer.write_all(answer.as_bytes()).await.is_err() || !head.keeps_alive {
            return;
        }
    }
}

async fn read_head(connection: &mut Connection) -> Option<RequestHead> {
    loop {
        match RequestHead::take(&mut connection.input, MAX_HEAD_BYTES) {
            Ok(Some(head)) => return Some(head),
            Ok(None) => {}
            Err(_) => return None,
        }
        match connection.read_more().await {
            Ok(1..) => {}
            Ok(0) | Err(_) => return None,
        }
    }
}

fn respond<P: Protocol>(gateway: &Gateway<P>, path: &str) -> (&'static str, String) {
    if path == P::READY_PATH {
        return match gateway.is_ready() {
            true => ("200 OK", String::new()),
            false => ("503 Service Unavailable", String::new()),
        };
    }
    if path != METRICS_PATH {
        return ("404 Not Found", String::new());
    }
    let age = gateway.config.confirmation_age(BootInstant::now()).unwrap_or_default();
    gateway.metrics.config_age_ms.set(age.as_millis() as i64);
    match gateway.metrics.encode() {
        Ok(text) => ("200 OK", text),
        Err(error) => {
            event!("metrics_failed", "reason={:?}", error.to_string());
            ("500 Internal Server Error", String::new())
        }
    }
}
