//! Database groups: servers that speak the line protocol, replicate their log and register themselves
//! in the store.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::json::{number, text};
use crate::record::Record;
use crate::store::Store;

/// Commits per second that are transferred to a server that holds nothing.
const TRANSFER_PER_S: usize = 100;

/// How the servers of a group behave.
#[derive(Clone)]
pub struct GroupSettings {
    pub service: String,
    /// Statements that run at once; more wait.
    pub slots: usize,
    /// Statements that wait for a slot; more get `BUSY`.
    pub queue: usize,
    pub max_conns: usize,
    /// Time that a read, a write or a commit occupies a slot.
    pub work: Duration,
    pub open: Duration,
    /// Replicas that have received a commit before it is acknowledged.
    pub sync_replicas: usize,
    /// Time from a commit until a replica applies it.
    pub lag: Duration,
    /// Time from an order to promote until it takes effect.
    pub promote: Duration,
    pub heartbeat: Duration,
}

/// A commit that wrote, as an entry of the log.
#[derive(Debug)]
pub struct Entry {
    pub term: u64,
    pub number: usize,
    /// Id of the statement that committed it: the write, or `COMMIT`.
    pub commit: String,
    /// Item and data of each write.
    pub writes: Vec<(String, String)>,
    pub at: Duration,
}

struct Server {
    id: String,
    zone: String,
    address: SocketAddr,
    up: bool,
    primary: bool,
    term: u64,
    log: Vec<Arc<Entry>>,
    lag: Duration,
    deaf: bool,
    draining: bool,
    born: u64,
    life: u64,
    sequence: u64,
    links: Vec<TcpStream>,
    connections: usize,
    running: usize,
    waiting: usize,
    newer_seen: Option<Duration>,
    beat_at: Duration,
    /// When the transfer of the log to a server that holds nothing began.
    transfer_from: Option<Duration>,
}

/// A promotion that took effect.
#[derive(Clone, Debug)]
pub struct Promotion {
    pub id: String,
    pub term: u64,
    pub at: Duration,
    /// Commits that the promoted server has in its log.
    pub log: Vec<Arc<Entry>>,
}

/// A statement that a server ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Duration,
    pub ended: Duration,
    pub server: String,
    pub request: String,
    pub text: String,
    pub customer: String,
    /// Last position that the server had applied.
    pub position: (u64, usize),
    /// Commits that the server had applied.
    pub applied: usize,
    pub committed: Option<Arc<Entry>>,
}

pub struct Group {
    pub settings: GroupSettings,
    servers: Mutex<Vec<Server>>,
    slots: Condvar,
    store: Arc<Store>,
    record: Arc<Record>,
    pub runs: Mutex<Vec<Run>>,
    pub promotions: Mutex<Vec<Promotion>>,
    /// Additional delay of a server's answers, for a longer way.
    pub link_delay: Mutex<HashMap<String, Duration>>,
}

impl Group {
    /// Starts the servers, one in each of `zones`; the first one is the primary.
    pub fn start(
        settings: GroupSettings,
        zones: &[&str],
        store: &Arc<Store>,
        record: &Arc<Record>,
    ) -> std::io::Result<Arc<Self>> {
        let mut servers = Vec::new();
        let mut listeners = Vec::new();
        for (index, zone) in zones.iter().enumerate() {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            servers.push(Server {
                id: format!("i-{}-{}", settings.service, index + 1),
                zone: (*zone).to_owned(),
                address: listener.local_addr()?,
                up: true,
                primary: index == 0,
                term: 1,
                log: Vec::new(),
                lag: settings.lag,
                deaf: false,
                draining: false,
                born: unix_ms(),
                life: 0,
                sequence: 0,
                links: Vec::new(),
                connections: 0,
                running: 0,
                waiting: 0,
                newer_seen: None,
                beat_at: Duration::ZERO,
                transfer_from: None,
            });
            listeners.push(listener);
        }
        let group = Arc::new(Self {
            settings,
            servers: Mutex::new(servers),
            slots: Condvar::new(),
            store: Arc::clone(store),
            record: Arc::clone(record),
            runs: Mutex::default(),
            promotions: Mutex::default(),
            link_delay: Mutex::default(),
        });
        for (index, listener) in listeners.into_iter().enumerate() {
            let group = Arc::clone(&group);
            thread::spawn(move || group.accept(index, listener));
        }
        let replicating = Arc::clone(&group);
        thread::spawn(move || {
            loop {
                replicating.replicate();
                thread::sleep(Duration::from_millis(1));
            }
        });
        let beating = Arc::clone(&group);
        thread::spawn(move || {
            loop {
                beating.register();
                thread::sleep(Duration::from_millis(20));
            }
        });
        Ok(group)
    }

    fn index_of(&self, id: &str) -> Option<usize> {
        self.servers
            .lock()
            .unwrap()
            .iter()
            .position(|server| server.id == id)
    }

    /// Returns the id of the primary in the highest term.
    pub fn primary(&self) -> String {
        let servers = self.servers.lock().unwrap();
        let primaries = servers.iter().filter(|server| server.primary);
        primaries
            .max_by_key(|server| server.term)
            .map_or(String::new(), |server| server.id.clone())
    }

    /// Ends the server's process. Its connections break, and its port refuses new ones.
    pub fn crash(&self, id: &str) {
        let mut servers = self.servers.lock().unwrap();
        if let Some(server) = servers.iter_mut().find(|server| server.id == id) {
            server.up = false;
            server.life += 1;
            for link in server.links.drain(..) {
                let _ = link.shutdown(std::net::Shutdown::Both);
            }
        }
        self.slots.notify_all();
        self.record
            .line(format_args!("trouble: server {id} crashes"));
    }

    /// Starts a crashed server again, at its address and with its log. It is a replica if another one
    /// was promoted.
    pub fn restart(self: &Arc<Self>, id: &str) -> std::io::Result<()> {
        let Some(index) = self.index_of(id) else {
            return Ok(());
        };
        let address = self.servers.lock().unwrap()[index].address;
        let listener = TcpListener::bind(address)?;
        {
            let mut servers = self.servers.lock().unwrap();
            let highest = servers.iter().map(|server| server.term).max();
            let server = &mut servers[index];
            server.up = true;
            server.born = unix_ms();
            (server.running, server.waiting, server.connections) = (0, 0, 0);
            if Some(server.term) != highest {
                server.primary = false;
                server.lag = self.settings.lag;
            }
        }
        let group = Arc::clone(self);
        thread::spawn(move || group.accept(index, listener));
        self.record.line(format_args!("server: {id} is back"));
        Ok(())
    }

    /// Starts a crashed replica again under its id. It holds nothing of before, its counts start anew,
    /// and the primary's log is transferred to it.
    pub fn restart_empty(self: &Arc<Self>, id: &str) -> std::io::Result<()> {
        let Some(index) = self.index_of(id) else {
            return Ok(());
        };
        let address = self.servers.lock().unwrap()[index].address;
        let listener = TcpListener::bind(address)?;
        {
            let mut servers = self.servers.lock().unwrap();
            let server = &mut servers[index];
            server.up = true;
            server.born = unix_ms();
            server.sequence = 0;
            server.log.clear();
            server.transfer_from = Some(self.record.now());
            (server.running, server.waiting, server.connections) = (0, 0, 0);
        }
        let group = Arc::clone(self);
        thread::spawn(move || group.accept(index, listener));
        self.record
            .line(format_args!("trouble: server {id} starts again and holds nothing"));
        Ok(())
    }

    /// Sets whether a replica receives nothing.
    pub fn set_deaf(&self, id: &str, deaf: bool) {
        let mut servers = self.servers.lock().unwrap();
        if let Some(server) = servers.iter_mut().find(|server| server.id == id) {
            server.deaf = deaf;
        }
        self.record.line(format_args!(
            "trouble: replica {id} receives nothing: {deaf}"
        ));
    }

    /// Sets how much later a replica applies what it receives.
    pub fn set_lag(&self, id: &str, lag: Duration) {
        let mut servers = self.servers.lock().unwrap();
        if let Some(server) = servers.iter_mut().find(|server| server.id == id) {
            server.lag = lag;
        }
        self.record.line(format_args!(
            "trouble: replica {id} applies {} ms late",
            lag.as_millis()
        ));
    }

    /// Orders a promotion. Returns whether the server is running.
    pub fn order_promotion(self: &Arc<Self>, id: &str) -> bool {
        let Some(index) = self.index_of(id) else {
            return false;
        };
        {
            let servers = self.servers.lock().unwrap();
            if !servers[index].up {
                return false;
            }
            let highest = servers.iter().map(|server| server.term).max();
            if servers[index].primary && Some(servers[index].term) == highest {
                return true;
            }
        }
        let group = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(group.settings.promote);
            group.promote(index);
        });
        true
    }

    fn promote(&self, index: usize) {
        let mut servers = self.servers.lock().unwrap();
        if !servers[index].up {
            return;
        }
        let term = servers.iter().map(|server| server.term).max().unwrap_or(0) + 1;
        let server = &mut servers[index];
        server.term = term;
        server.primary = true;
        server.lag = Duration::ZERO;
        server.newer_seen = None;
        let promotion = Promotion {
            id: server.id.clone(),
            term,
            at: self.record.now(),
            log: server.log.clone(),
        };
        self.record.line(format_args!(
            "server: {} leads term {term} with {} commits in its log",
            promotion.id,
            promotion.log.len()
        ));
        self.promotions.lock().unwrap().push(promotion);
    }

    fn replicate(&self) {
        let now = self.record.now();
        let mut servers = self.servers.lock().unwrap();
        let leaders = servers
            .iter()
            .enumerate()
            .filter(|(_, server)| server.primary);
        let Some((leader, _)) = leaders.max_by_key(|(_, server)| server.term) else {
            return;
        };
        if !servers[leader].up {
            return;
        }
        let (term, log) = (servers[leader].term, servers[leader].log.clone());
        let usual = self.settings.lag;
        for (index, server) in servers.iter_mut().enumerate() {
            if index == leader || !server.up || server.deaf {
                continue;
            }
            if server.primary {
                let since = *server.newer_seen.get_or_insert(now);
                if now.saturating_sub(since) < Duration::from_secs(1) {
                    continue;
                }
                server.primary = false;
                server.lag = usual;
                self.record
                    .line(format_args!("server: {} follows term {term}", server.id));
            }
            server.term = term;
            let same = server
                .log
                .iter()
                .zip(&log)
                .take_while(|(own, other)| Arc::ptr_eq(own, other));
            let same = same.count();
            server.log.truncate(same);
            let mut until = log.len();
            if let Some(from) = server.transfer_from {
                let passed = now.saturating_sub(from).as_millis() as usize;
                let transferred = passed * TRANSFER_PER_S / 1_000;
                if transferred < log.len() {
                    until = transferred.max(same);
                } else {
                    server.transfer_from = None;
                }
            }
            server.log.extend(log[same..until].iter().cloned());
        }
        self.slots.notify_all();
    }

    fn register(&self) {
        let now = self.record.now();
        let mut servers = self.servers.lock().unwrap();
        for server in servers.iter_mut() {
            if server.up {
                server.sequence += 1;
                server.beat_at = now;
                let spec = vec![
                    ("backend", text(&self.settings.service)),
                    ("address", text(server.address.to_string())),
                    ("zone", text(&server.zone)),
                    ("version", text("v1")),
                    ("slots", number(self.settings.slots as u64)),
                    (
                        "state",
                        text(if server.draining { "draining" } else { "ready" }),
                    ),
                    ("cold_left_ms", number(0)),
                    (
                        "db_role",
                        text(if server.primary { "primary" } else { "replica" }),
                    ),
                    ("sequence", number(server.sequence)),
                    ("born", number(server.born)),
                ];
                self.store
                    .put("servers", &server.id, crate::json::object(spec));
            } else if now.saturating_sub(server.beat_at) > self.settings.heartbeat * 3
                && server.beat_at > Duration::ZERO
            {
                server.beat_at = Duration::ZERO;
                self.store.remove("servers", &server.id);
                self.record.line(format_args!(
                    "store: the entry of {} has expired",
                    server.id
                ));
            }
        }
    }

    fn accept(self: Arc<Self>, index: usize, listener: TcpListener) {
        listener.set_nonblocking(true).unwrap();
        let mut number = 0;
        loop {
            if !self.servers.lock().unwrap()[index].up {
                return;
            }
            match listener.accept() {
                Ok((stream, _)) => {
                    number += 1;
                    let _ = stream.set_nonblocking(false);
                    let _ = stream.set_nodelay(true);
                    let group = Arc::clone(&self);
                    let link = format!("{}.{number}", index + 1);
                    thread::spawn(move || Session::serve(group, index, link, stream));
                }
                Err(_) => thread::sleep(Duration::from_millis(1)),
            }
        }
    }
}

fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}

struct Session {
    group: Arc<Group>,
    index: usize,
    link: String,
    id: String,
    life: u64,
    customer: String,
    state: char,
    read_only: bool,
    begun_term: u64,
    writes: Vec<(String, String)>,
    prepared: HashMap<String, String>,
    runs: usize,
}

impl Session {
    fn serve(group: Arc<Group>, index: usize, link: String, stream: TcpStream) {
        let (life, id) = {
            let mut servers = group.servers.lock().unwrap();
            let server = &mut servers[index];
            if !server.up {
                return;
            }
            if let Ok(link) = stream.try_clone() {
                server.links.push(link);
            }
            server.connections += 1;
            (server.life, server.id.clone())
        };
        let mut session = Self {
            group: Arc::clone(&group),
            index,
            link,
            id,
            life,
            customer: String::new(),
            state: 'I',
            read_only: false,
            begun_term: 0,
            writes: Vec::new(),
            prepared: HashMap::new(),
            runs: 0,
        };
        session.exchange(stream);
        let mut servers = group.servers.lock().unwrap();
        let connections = &mut servers[index].connections;
        *connections = connections.saturating_sub(1);
    }

    fn exchange(&mut self, stream: TcpStream) {
        let Ok(mut output) = stream.try_clone() else {
            return;
        };
        let mut input = BufReader::new(stream);
        loop {
            let mut line = String::new();
            match input.read_line(&mut line) {
                Ok(count) if count > 0 => {}
                _ => return,
            }
            let line = line.trim_end_matches(['\r', '\n']);
            let answer = if let Some(fields) = line.strip_prefix("START ") {
                self.start(fields)
            } else if let Some(query) = line.strip_prefix("QUERY ") {
                let (id, text) = query.split_once(' ').unwrap_or((query, ""));
                self.query(id, text)
            } else {
                return;
            };
            let delay = {
                let delays = self.group.link_delay.lock().unwrap();
                delays.get(&self.id).copied()
            };
            if let Some(delay) = delay {
                thread::sleep(delay);
            }
            let Some((answer, goes_on)) = answer else {
                return;
            };
            let ready = {
                let servers = self.group.servers.lock().unwrap();
                let server = &servers[self.index];
                if !server.up || server.life != self.life {
                    return;
                }
                let (term, number) = position(&applied(server, self.group.record.now()));
                format!("READY {} {term}.{number}\r\n", self.state)
            };
            let text = if goes_on {
                format!("{answer}{ready}")
            } else {
                answer
            };
            if output.write_all(text.as_bytes()).is_err() || !goes_on {
                return;
            }
        }
    }

    fn start(&mut self, fields: &str) -> Option<(String, bool)> {
        let fields: Vec<&str> = fields.split(' ').collect();
        let is_known = fields.first() == Some(&self.group.settings.service.as_str())
            && fields.get(2).is_none_or(|id| *id == self.id);
        if !is_known {
            return Some(("ERR MISROUTED no\r\n".to_owned(), false));
        }
        let count = self.group.servers.lock().unwrap()[self.index].connections;
        if count > self.group.settings.max_conns {
            return Some(("ERR TOOMANY no\r\n".to_owned(), false));
        }
        self.customer = (*fields.get(1)?).to_owned();
        thread::sleep(self.group.settings.open);
        Some((String::new(), true))
    }

    fn fail(&mut self, code: &str) -> Option<(String, bool)> {
        if self.state == 'T' {
            self.state = 'E';
        }
        Some((format!("ERR {code} {}\r\n", self.id), true))
    }

    fn query(&mut self, id: &str, text: &str) -> Option<(String, bool)> {
        let (floor, text) = split_floor(text);
        let mut words: Vec<&str> = text.splitn(3, ' ').collect();
        let prepared = match words[..] {
            ["EXEC", name, ..] => match self.prepared.get(name).cloned() {
                Some(shape) => Some(shape),
                None => return self.fail("NOSTMT"),
            },
            _ => None,
        };
        if let Some(shape) = &prepared {
            let kind = shape.split(' ').next().unwrap_or_default();
            let rest = words.get(2).copied().unwrap_or_default();
            words = std::iter::once(kind).chain(rest.splitn(2, ' ')).collect();
        }
        if !matches!(words[0], "READ" | "WRITE" | "COMMIT" | "STATUS") {
            return self.control(floor, &words);
        }
        if !self.take_slot() {
            return Some(("ERR BUSY full\r\n".to_owned(), true));
        }
        if words[0] != "STATUS" {
            thread::sleep(self.group.settings.work);
        }
        let answer = match words[0] {
            "STATUS" => self.status(),
            _ if self.state == 'E' && words[0] != "COMMIT" => {
                Some(("ERR MALFORMED failed\r\n".to_owned(), true))
            }
            "READ" => self.read(id, text, floor, words.get(1).copied().unwrap_or_default()),
            "WRITE" => {
                let data = words.get(2).copied().unwrap_or_default();
                self.write(id, text, words.get(1).copied().unwrap_or_default(), data)
            }
            _ => self.commit(id, text),
        };
        let mut servers = self.group.servers.lock().unwrap();
        let running = &mut servers[self.index].running;
        *running = running.saturating_sub(1);
        drop(servers);
        self.group.slots.notify_all();
        answer
    }

    fn take_slot(&self) -> bool {
        let settings = &self.group.settings;
        let mut servers = self.group.servers.lock().unwrap();
        if servers[self.index].running >= settings.slots {
            if servers[self.index].waiting >= settings.queue {
                return false;
            }
            servers[self.index].waiting += 1;
            while servers[self.index].running >= settings.slots {
                servers = self.group.slots.wait(servers).unwrap();
            }
            let waiting = &mut servers[self.index].waiting;
            *waiting = waiting.saturating_sub(1);
        }
        servers[self.index].running += 1;
        true
    }

    fn control(&mut self, floor: Option<(u64, usize)>, words: &[&str]) -> Option<(String, bool)> {
        match words[0] {
            "BEGIN" => {
                let (is_behind, is_primary, term) = {
                    let servers = self.group.servers.lock().unwrap();
                    let server = &servers[self.index];
                    let log = applied(server, self.group.record.now());
                    (
                        floor.is_some_and(|floor| !holds(&log, floor)),
                        server.primary,
                        server.term,
                    )
                };
                if is_behind {
                    return Some((format!("ERR LAGGING {}\r\n", self.id), true));
                }
                self.read_only = words.len() > 1;
                if !self.read_only && !is_primary {
                    return Some((format!("ERR READONLY {}\r\n", self.id), true));
                }
                self.begun_term = term;
                self.state = 'T';
            }
            "ROLLBACK" => {
                self.state = 'I';
                self.writes.clear();
            }
            "RESET" => self.prepared.clear(),
            "PREPARE" => {
                let shape = words.get(2).copied().unwrap_or_default();
                self.prepared.insert(words[1].to_owned(), shape.to_owned());
            }
            "FORGET" => {
                self.prepared.remove(words[1]);
            }
            "SET" => {}
            "DEMOTE" => {
                let term: u64 = words.get(1)?.parse().ok()?;
                let mut servers = self.group.servers.lock().unwrap();
                let server = &mut servers[self.index];
                if term > server.term && server.primary {
                    server.primary = false;
                    server.lag = self.group.settings.lag;
                    self.group
                        .record
                        .line(format_args!("server: {} is demoted", self.id));
                }
                drop(servers);
                return self.status();
            }
            _ => return Some(("ERR MALFORMED unknown\r\n".to_owned(), true)),
        }
        Some(("DONE -\r\n".to_owned(), true))
    }

    fn status(&self) -> Option<(String, bool)> {
        let servers = self.group.servers.lock().unwrap();
        let server = &servers[self.index];
        let role = if server.primary { "primary" } else { "replica" };
        let (term, number) = position(&server.log);
        let own = server.term;
        let lag = server.lag.as_millis();
        let (running, connections) = (server.running, server.connections);
        let row = format!("ROW {role} {own} {term}.{number} 0 {lag} {running} {connections}\r\n");
        Some((format!("{row}DONE -\r\n"), true))
    }

    fn read(
        &mut self,
        id: &str,
        text: &str,
        floor: Option<(u64, usize)>,
        item: &str,
    ) -> Option<(String, bool)> {
        let log = {
            let servers = self.group.servers.lock().unwrap();
            applied(&servers[self.index], self.group.record.now())
        };
        if floor.is_some_and(|floor| !holds(&log, floor)) {
            return self.fail("LAGGING");
        }
        let newest = log.iter().rev().find_map(|entry| {
            let found = entry.writes.iter().rev().find(|(known, _)| known == item);
            found.map(|(_, data)| data.clone())
        });
        let data = newest.unwrap_or_else(|| "none".to_owned());
        self.note(id, text, &log, None);
        Some((format!("ROW {data}\r\n{}", self.signature()), true))
    }

    fn write(&mut self, id: &str, text: &str, item: &str, data: &str) -> Option<(String, bool)> {
        let (is_primary, term) = {
            let servers = self.group.servers.lock().unwrap();
            (servers[self.index].primary, servers[self.index].term)
        };
        if !is_primary || self.state == 'T' && (self.read_only || term != self.begun_term) {
            return self.fail("READONLY");
        }
        let change = (item.to_owned(), data.to_owned());
        if self.state == 'T' {
            self.writes.push(change);
            self.note(id, text, &[], None);
            return Some((self.signature(), true));
        }
        self.append(id, text, vec![change])
    }

    fn commit(&mut self, id: &str, text: &str) -> Option<(String, bool)> {
        let was_open = std::mem::replace(&mut self.state, 'I') == 'T';
        let writes = std::mem::take(&mut self.writes);
        if !was_open {
            return Some(("ERR ABORTED rolled back\r\n".to_owned(), true));
        }
        if writes.is_empty() {
            self.note(id, text, &[], None);
            return Some((self.signature(), true));
        }
        let (is_primary, term) = {
            let servers = self.group.servers.lock().unwrap();
            (servers[self.index].primary, servers[self.index].term)
        };
        if !is_primary || term != self.begun_term {
            return Some((format!("ERR READONLY {}\r\n", self.id), true));
        }
        self.append(id, text, writes)
    }

    /// Commits writes, and waits until enough replicas have received them.
    fn append(
        &mut self,
        id: &str,
        text: &str,
        writes: Vec<(String, String)>,
    ) -> Option<(String, bool)> {
        let entry = {
            let mut servers = self.group.servers.lock().unwrap();
            let server = &mut servers[self.index];
            if !server.up || server.life != self.life {
                return None;
            }
            let entry = Arc::new(Entry {
                term: server.term,
                number: server.log.len() + 1,
                commit: id.to_owned(),
                writes,
                at: self.group.record.now(),
            });
            server.log.push(Arc::clone(&entry));
            entry
        };
        self.note(id, text, &[], Some(Arc::clone(&entry)));
        while self.group.settings.sync_replicas > 0 {
            {
                let servers = self.group.servers.lock().unwrap();
                let server = &servers[self.index];
                if !server.up || server.life != self.life {
                    return None;
                }
                let has = |other: &&Server| {
                    let found = other.log.get(entry.number - 1);
                    found.is_some_and(|found| Arc::ptr_eq(found, &entry))
                };
                let received = servers
                    .iter()
                    .filter(|other| other.id != self.id)
                    .filter(has)
                    .count();
                if received >= self.group.settings.sync_replicas {
                    break;
                }
            }
            thread::sleep(Duration::from_millis(1));
        }
        Some((self.signature(), true))
    }

    fn signature(&mut self) -> String {
        self.runs += 1;
        format!("DONE {}.{}\r\n", self.link, self.runs)
    }

    fn note(&self, id: &str, text: &str, log: &[Arc<Entry>], committed: Option<Arc<Entry>>) {
        if id == "-" {
            return;
        }
        let now = self.group.record.now();
        let run = Run {
            at: now.saturating_sub(self.group.settings.work),
            ended: now,
            server: self.id.clone(),
            request: id.to_owned(),
            text: text.to_owned(),
            customer: self.customer.clone(),
            position: position(log),
            applied: log.len(),
            committed: committed.clone(),
        };
        let commit = committed.map_or(String::new(), |entry| {
            format!(" commits {}.{}", entry.term, entry.number)
        });
        self.group.record.line(format_args!(
            "server: {} on connection {} runs {id} {text:?} for {}{commit}",
            self.id, self.link, self.customer
        ));
        self.group.runs.lock().unwrap().push(run);
    }
}

/// Returns the part of the log that the server has applied.
fn applied(server: &Server, now: Duration) -> Vec<Arc<Entry>> {
    let is_applied = |entry: &&Arc<Entry>| server.primary || entry.at + server.lag <= now;
    server.log.iter().take_while(is_applied).cloned().collect()
}

fn position(log: &[Arc<Entry>]) -> (u64, usize) {
    log.last()
        .map_or((1, 0), |entry| (entry.term, entry.number))
}

/// Returns whether a log has reached a position.
fn holds(log: &[Arc<Entry>], floor: (u64, usize)) -> bool {
    position(log) >= floor
}

fn split_floor(text: &str) -> (Option<(u64, usize)>, &str) {
    let parse = || {
        let (floor, text) = text.strip_prefix("AFTER ")?.split_once(' ')?;
        let (term, number) = floor.split_once('.')?;
        Some(((term.parse().ok()?, number.parse().ok()?), text))
    };
    match parse() {
        Some((floor, text)) => (Some(floor), text),
        None => (None, text),
    }
}

/// Waits until `done` returns true, for `limit` at most. Returns whether it did.
pub fn wait_for(limit: Duration, mut done: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if done() {
            return true;
        }
        thread::sleep(Duration::from_millis(5));
    }
    false
}
