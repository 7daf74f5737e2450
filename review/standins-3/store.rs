//! The platform: its object store and the call that orders a promotion, over HTTP/1.1.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::json::{Json, number, object, text};
use crate::record::Record;

const OBJECTS: &str = "/mustardhinge/objects/";

struct Change {
    revision: u64,
    kind: String,
    object: Json,
    removed: bool,
}

#[derive(Default)]
struct Content {
    revision: u64,
    objects: BTreeMap<(String, String), (u64, Json, Vec<(String, Json)>)>,
    changes: Vec<Change>,
}

/// A call that orders a promotion, as it arrived.
#[derive(Clone, Debug)]
pub struct PromoteCall {
    pub holder: String,
    pub fence: u64,
    pub backend: String,
    pub id: String,
}

/// Decides what happens to a promotion call. Returns the status, or `None` for no answer.
pub type PromoteHandler = Box<dyn Fn(PromoteCall) -> Option<u16> + Send + Sync>;

/// The platform's store. It loses nothing that it has acknowledged.
pub struct Store {
    content: Mutex<Content>,
    changed: Condvar,
    record: Arc<Record>,
    promote: Mutex<Option<Arc<PromoteHandler>>>,
}

impl Store {
    pub fn start(record: Arc<Record>) -> std::io::Result<(Arc<Self>, SocketAddr)> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let content = Content {
            revision: 1,
            ..Content::default()
        };
        let store = Arc::new(Self {
            content: Mutex::new(content),
            changed: Condvar::new(),
            record,
            promote: Mutex::new(None),
        });
        let served = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&served);
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok((store, address))
    }

    pub fn on_promote(&self, handler: PromoteHandler) {
        *self.promote.lock().unwrap() = Some(Arc::new(handler));
    }

    /// Puts an object, whatever is there. `top` are fields beside `meta` and `spec`. Contents that
    /// are equal but for `sequence` are no change.
    pub fn put(&self, kind: &str, name: &str, spec: Json) -> u64 {
        let mut content = self.content.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        if let Some((revision, known, _)) = content.objects.get(&key)
            && without_sequence(known) == without_sequence(&spec)
        {
            return *revision;
        }
        let revision = content.store(key, spec);
        self.changed.notify_all();
        revision
    }

    pub fn remove(&self, kind: &str, name: &str) {
        let mut content = self.content.lock().unwrap();
        content.remove((kind.to_owned(), name.to_owned()));
        self.changed.notify_all();
    }

    pub fn spec(&self, kind: &str, name: &str) -> Option<Json> {
        let content = self.content.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        content.objects.get(&key).map(|(_, spec, _)| spec.clone())
    }

    /// Returns the objects of a kind that the system created, by name.
    pub fn kinds(&self) -> Vec<(String, String)> {
        self.content
            .lock()
            .unwrap()
            .objects
            .keys()
            .cloned()
            .collect()
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut output) = stream.try_clone() else {
            return;
        };
        let mut input = BufReader::new(stream);
        while let Some(request) = read_request(&mut input) {
            let (status, body) = match self.answer(&request) {
                Some(answer) => answer,
                None => return,
            };
            let head = format!(
                "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if output
                .write_all(format!("{head}{body}").as_bytes())
                .is_err()
            {
                return;
            }
        }
    }

    fn answer(&self, request: &Request) -> Option<(u16, String)> {
        if request.path == "/promote" {
            let header = |name: &str| {
                let found = request.headers.iter().find(|(known, _)| known == name);
                found.map_or(String::new(), |(_, value)| value.clone())
            };
            let body = Json::parse(&request.body).unwrap_or(Json::Null);
            let call = PromoteCall {
                holder: header("duty-holder"),
                fence: header("fence-token").parse().unwrap_or(0),
                backend: body.get("backend").text().unwrap_or_default().to_owned(),
                id: body.get("id").text().unwrap_or_default().to_owned(),
            };
            self.record.line(format_args!(
                "platform: POST /promote arrives: backend={} id={} Duty-Holder={} Fence-Token={}",
                call.backend, call.id, call.holder, call.fence
            ));
            let handler = self.promote.lock().unwrap().clone();
            let status = handler.and_then(|handler| handler(call))?;
            return Some((status, "{}".to_owned()));
        }
        let path = request.path.strip_prefix(OBJECTS)?;
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        let field = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .find(|(known, _)| *known == name)
                .map(|(_, value)| value.to_owned())
        };
        let (kind, name) = match path.split_once('/') {
            Some((kind, name)) => (kind.to_owned(), Some(name.to_owned())),
            None => (path.to_owned(), None),
        };
        match (request.method.as_str(), name) {
            ("GET", Some(name)) => {
                let content = self.content.lock().unwrap();
                let key = (kind, name);
                Some(match content.objects.get(&key) {
                    Some(found) => (200, to_object(&key.1, found).to_string()),
                    None => (404, "{}".to_owned()),
                })
            }
            ("GET", None) => match field("watch").and_then(|text| text.parse().ok()) {
                Some(revision) => {
                    let wait = field("wait_ms")
                        .and_then(|text| text.parse().ok())
                        .unwrap_or(0);
                    Some(self.watch(&kind, revision, Duration::from_millis(wait)))
                }
                None => Some(self.list(&kind, field("after").as_deref())),
            },
            ("POST", None) => Some(self.write(&kind, None, &request.body, true)),
            ("PUT", Some(name)) => Some(self.write(&kind, Some(name), &request.body, false)),
            ("DELETE", Some(name)) => {
                self.remove(&kind, &name);
                Some((200, "{}".to_owned()))
            }
            _ => Some((404, "{}".to_owned())),
        }
    }

    fn list(&self, kind: &str, after: Option<&str>) -> (u16, String) {
        let content = self.content.lock().unwrap();
        let found = content.objects.iter().filter(|((known, name), _)| {
            known == kind && after.is_none_or(|after| name.as_str() > after)
        });
        let items: Vec<_> = found
            .map(|((_, name), found)| to_object(name, found))
            .collect();
        let has_more = items.len() > 500;
        let page = object(vec![
            ("items", Json::List(items.into_iter().take(500).collect())),
            ("has_more", Json::Bool(has_more)),
            ("store_revision", number(content.revision)),
        ]);
        (200, page.to_string())
    }

    fn watch(&self, kind: &str, revision: u64, wait: Duration) -> (u16, String) {
        let until = Instant::now() + wait;
        let mut content = self.content.lock().unwrap();
        loop {
            let changes = content.changes.iter();
            let news = changes.filter(|change| change.revision > revision && change.kind == kind);
            let events: Vec<_> = news
                .map(|change| {
                    object(vec![
                        ("removed", Json::Bool(change.removed)),
                        ("object", change.object.clone()),
                    ])
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let page = object(vec![
                    ("events", Json::List(events)),
                    ("store_revision", number(content.revision)),
                ]);
                return (200, page.to_string());
            }
            content = self.changed.wait_timeout(content, left).unwrap().0;
        }
    }

    fn write(&self, kind: &str, name: Option<String>, body: &str, creates: bool) -> (u16, String) {
        let Some(body) = Json::parse(body) else {
            return (400, "{}".to_owned());
        };
        let meta = body.get("meta");
        let Some(name) = name.or_else(|| meta.get("name").text().map(str::to_owned)) else {
            return (400, "{}".to_owned());
        };
        let key = (kind.to_owned(), name);
        let mut content = self.content.lock().unwrap();
        let known = content.objects.get(&key).cloned();
        let expected = meta.get("revision").number();
        match &known {
            None if !creates => return (404, "{}".to_owned()),
            Some(found) if creates || expected.is_some_and(|expected| expected != found.0) => {
                return (409, to_object(&key.1, found).to_string());
            }
            _ => {}
        }
        let spec = body.get("spec").clone();
        if known.as_ref().is_none_or(|found| found.1 != spec) {
            content.store(key.clone(), spec.clone());
            self.changed.notify_all();
        }
        self.record
            .line(format_args!("store: {kind}/{} is written: {spec}", key.1));
        let found = &content.objects[&key];
        (200, to_object(&key.1, found).to_string())
    }
}

impl Content {
    fn store(&mut self, key: (String, String), spec: Json) -> u64 {
        self.revision += 1;
        let revision = self.revision;
        let created = revision;
        let top = vec![("created".to_owned(), number(created))];
        let found = (revision, spec, top);
        let object = to_object(&key.1, &found);
        self.changes.push(Change {
            revision,
            kind: key.0.clone(),
            object,
            removed: false,
        });
        self.objects.insert(key, found);
        revision
    }

    fn remove(&mut self, key: (String, String)) {
        if let Some(found) = self.objects.remove(&key) {
            self.revision += 1;
            let object = to_object(&key.1, &found);
            let revision = self.revision;
            self.changes.push(Change {
                revision,
                kind: key.0,
                object,
                removed: true,
            });
        }
    }
}

fn to_object(name: &str, (revision, spec, _): &(u64, Json, Vec<(String, Json)>)) -> Json {
    object(vec![
        (
            "meta",
            object(vec![
                ("name", text(name)),
                ("revision", number(*revision)),
                ("created", number(1)),
                ("finalizers", Json::List(Vec::new())),
                ("deleting", Json::Bool(false)),
            ]),
        ),
        ("spec", spec.clone()),
        ("status", Json::Null),
    ])
}

fn without_sequence(spec: &Json) -> Json {
    match spec {
        Json::Object(fields) => {
            let fields = fields.iter().filter(|(name, _)| name != "sequence");
            Json::Object(fields.cloned().collect())
        }
        other => other.clone(),
    }
}

struct Request {
    method: String,
    path: String,
    headers: Vec<(String, String)>,
    body: String,
}

fn read_request(input: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    input.read_line(&mut line).ok().filter(|count| *count > 0)?;
    let mut words = line.split_whitespace();
    let (method, path) = (words.next()?.to_owned(), words.next()?.to_owned());
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        input.read_line(&mut line).ok().filter(|count| *count > 0)?;
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
    }
    let length = headers.iter().find(|(name, _)| name == "content-length");
    let length: usize = length.map_or(0, |(_, value)| value.parse().unwrap_or(0));
    let mut body = vec![0; length];
    input.read_exact(&mut body).ok()?;
    let body = String::from_utf8_lossy(&body).into_owned();
    Some(Request {
        method,
        path,
        headers,
        body,
    })
}
