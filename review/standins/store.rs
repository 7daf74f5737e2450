//! The platform's store of objects and the call that promotes a server, over HTTP/1.1.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::json::{member, text_member};

/// What a promotion order does: takes the service, the id, the holder and the fence; returns
/// the HTTP status.
pub type Promote = Box<dyn Fn(&str, &str, &str, &str) -> u16 + Send + Sync>;

#[derive(Default)]
struct Contents {
    revision: u64,
    /// The objects by kind and name, with revision and spec.
    objects: BTreeMap<(String, String), (u64, String)>,
    /// All changes, with revision, kind, removal and object.
    changes: Vec<(u64, String, bool, String)>,
}

pub struct Store {
    contents: Mutex<Contents>,
    changed: Condvar,
}

fn object_text(name: &str, revision: u64, spec: &str) -> String {
    format!(
        "{{\"meta\":{{\"name\":\"{name}\",\"revision\":{revision},\"created\":1,\
         \"finalizers\":[],\"deleting\":false}},\"spec\":{spec},\"status\":null}}"
    )
}

impl Store {
    pub fn new() -> Self {
        let contents = Contents { revision: 1, ..Contents::default() };
        Self { contents: Mutex::new(contents), changed: Condvar::new() }
    }

    /// Puts an object, whatever stood there.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let mut contents = self.contents.lock().unwrap();
        Self::write(&mut contents, kind, name, spec);
        self.changed.notify_all();
    }

    /// Returns whether the spec of an object contains a text.
    pub fn holds(&self, kind: &str, name: &str, text: &str) -> bool {
        let contents = self.contents.lock().unwrap();
        let found = contents.objects.get(&(kind.to_owned(), name.to_owned()));
        found.is_some_and(|(_, spec)| spec.contains(text))
    }

    pub fn remove(&self, kind: &str, name: &str) {
        let mut contents = self.contents.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        if let Some((_, spec)) = contents.objects.remove(&key) {
            contents.revision += 1;
            let revision = contents.revision;
            let object = object_text(name, revision, &spec);
            contents.changes.push((revision, kind.to_owned(), true, object));
            self.changed.notify_all();
        }
    }

    fn write(contents: &mut Contents, kind: &str, name: &str, spec: &str) -> String {
        let key = (kind.to_owned(), name.to_owned());
        if let Some((revision, known)) = contents.objects.get(&key) {
            if known == spec {
                return object_text(name, *revision, spec);
            }
        }
        contents.revision += 1;
        let revision = contents.revision;
        contents.objects.insert(key, (revision, spec.to_owned()));
        let object = object_text(name, revision, spec);
        contents.changes.push((revision, kind.to_owned(), false, object.clone()));
        object
    }

    fn put_if(&self, kind: &str, name: &str, spec: &str, expected: Option<u64>, is_new: bool) -> (u16, String) {
        let mut contents = self.contents.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        let known = contents.objects.get(&key).cloned();
        let answer = match known {
            None if !is_new => return (404, "{}".to_owned()),
            Some((revision, spec)) if is_new || expected.is_some_and(|rev| rev != revision) => {
                return (409, object_text(name, revision, &spec));
            }
            _ => Self::write(&mut contents, kind, name, spec),
        };
        self.changed.notify_all();
        (200, answer)
    }

    fn list(&self, kind: &str) -> String {
        let contents = self.contents.lock().unwrap();
        let items: Vec<_> = contents
            .objects
            .iter()
            .filter(|((of, _), _)| of == kind)
            .map(|((_, name), (revision, spec))| object_text(name, *revision, spec))
            .collect();
        let revision = contents.revision;
        format!("{{\"items\":[{}],\"has_more\":false,\"store_revision\":{revision}}}", items.join(","))
    }

    fn watch(&self, kind: &str, since: u64, wait: Duration) -> String {
        let until = Instant::now() + wait;
        let mut contents = self.contents.lock().unwrap();
        loop {
            let events: Vec<_> = contents
                .changes
                .iter()
                .filter(|(revision, of, ..)| *revision > since && of == kind)
                .map(|(.., removed, object)| format!("{{\"removed\":{removed},\"object\":{object}}}"))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let revision = contents.revision;
                return format!("{{\"events\":[{}],\"store_revision\":{revision}}}", events.join(","));
            }
            contents = self.changed.wait_timeout(contents, left).unwrap().0;
        }
    }

    fn get(&self, kind: &str, name: &str) -> (u16, String) {
        let contents = self.contents.lock().unwrap();
        match contents.objects.get(&(kind.to_owned(), name.to_owned())) {
            Some((revision, spec)) => (200, object_text(name, *revision, spec)),
            None => (404, "{}".to_owned()),
        }
    }
}

/// Serves the store and the promotion call at a free port of `ip`. Returns the address.
///
/// While `is_away` is set, calls to the store there get no answer but the end of the connection.
pub fn serve(
    store: &Arc<Store>,
    ip: &str,
    promote: &Arc<Promote>,
    is_away: &Arc<AtomicBool>,
) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("bind the store");
    let address = listener.local_addr().unwrap();
    let (store, promote, is_away) = (Arc::clone(store), Arc::clone(promote), Arc::clone(is_away));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (store, promote, is_away) =
                (Arc::clone(&store), Arc::clone(&promote), Arc::clone(&is_away));
            thread::spawn(move || {
                let _ = serve_connection(&store, &promote, &is_away, stream);
            });
        }
    });
    address
}

fn serve_connection(
    store: &Store,
    promote: &Promote,
    is_away: &AtomicBool,
    stream: TcpStream,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut output = stream.try_clone()?;
    let mut input = BufReader::new(stream);
    loop {
        let mut line = String::new();
        if input.read_line(&mut line)? == 0 {
            return Ok(());
        }
        let words: Vec<_> = line.split_whitespace().map(str::to_owned).collect();
        let (mut length, mut holder, mut fence) = (0, String::new(), String::new());
        loop {
            let mut header = String::new();
            input.read_line(&mut header)?;
            let Some((name, value)) = header.trim().split_once(':') else { break };
            let value = value.trim();
            match name.to_ascii_lowercase().as_str() {
                "content-length" => length = value.parse().unwrap_or(0),
                "duty-holder" => holder = value.to_owned(),
                "fence-token" => fence = value.to_owned(),
                _ => {}
            }
        }
        let mut body = vec![0; length];
        input.read_exact(&mut body)?;
        let body = String::from_utf8_lossy(&body).into_owned();
        let [method, target, ..] = &words[..] else { return Ok(()) };
        let is_store_call = target != "/promote";
        if is_store_call && is_away.load(Ordering::SeqCst) {
            return Ok(());
        }
        let (status, answer) = if !is_store_call {
            let field = |name| text_member(&body, name).unwrap_or_default().to_owned();
            (promote(&field("backend"), &field("id"), &holder, &fence), "{}".to_owned())
        } else {
            call(store, method, target, &body)
        };
        if is_store_call && is_away.load(Ordering::SeqCst) {
            return Ok(());
        }
        let head = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            answer.len()
        );
        output.write_all((head + &answer).as_bytes())?;
    }
}

fn call(store: &Store, method: &str, target: &str, body: &str) -> (u16, String) {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let Some(path) = path.strip_prefix("/mustardhinge/objects/") else {
        return (404, "{}".to_owned());
    };
    let parameter = |name: &str| {
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).and_then(|(_, value)| value.parse::<u64>().ok())
    };
    let meta = member(body, "meta").unwrap_or_default();
    let spec = member(body, "spec").unwrap_or("null");
    let expected = member(meta, "revision").and_then(|text| text.parse().ok());
    match (method, path.split_once('/')) {
        ("GET", Some((kind, name))) => store.get(kind, name),
        ("GET", None) => match parameter("watch") {
            Some(since) => {
                let wait = Duration::from_millis(parameter("wait_ms").unwrap_or(0).min(30_000));
                (200, store.watch(path, since, wait))
            }
            None => (200, store.list(path)),
        },
        ("POST", None) => {
            store.put_if(path, text_member(meta, "name").unwrap_or_default(), spec, None, true)
        }
        ("PUT", Some((kind, name))) => store.put_if(kind, name, spec, expected, false),
        _ => (404, "{}".to_owned()),
    }
}
