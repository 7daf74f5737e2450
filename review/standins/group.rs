//! A service of the platform: one primary and its replicas, which speak the wire protocol,
//! register in the store and are promoted by the platform's call.

use std::collections::{HashMap, HashSet};
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::record::Record;
use crate::store::Store;

pub const SERVICE: &str = "huvo11a";
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);
const HANDSHAKE: Duration = Duration::from_millis(12);
const MAX_CONNECTIONS: usize = 33;
/// How long a path between an instance and a server is cut at most, and how long after a promoted
/// server began to lead.
const MAX_CUT: Duration = Duration::from_millis(900);
const CUT_AFTER_LEAD: Duration = Duration::from_millis(200);
/// How long a replaced primary goes on unless it is demoted.
const STEP_DOWN: Duration = Duration::from_secs(1);
/// Statements that may wait for a slot; more get BUSY.
const QUEUE: usize = 40;

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Commit {
    pub term: u64,
    pub number: u64,
    pub item: String,
    pub data: String,
    /// The id of the client's statement.
    pub id: String,
}

pub struct Server {
    pub id: String,
    pub zone: String,
    pub address: SocketAddr,
    pub is_primary: bool,
    pub term: u64,
    /// Commits received.
    pub log: Vec<Commit>,
    /// When each of them is applied.
    applied_at: Vec<Instant>,
    /// How long after it receives a commit it applies it, as a replica.
    pub lag: Duration,
    pub is_alive: bool,
    /// Whether it receives nothing from the primary.
    pub is_deaf: bool,
    /// Whether work of other callers takes all its slots and places in the queue.
    pub is_full: bool,
    /// Whether it reports that it leaves.
    is_leaving: bool,
    sequence: u64,
    born_ms: u64,
    died_at: Option<Instant>,
    busy: usize,
    waiting: usize,
    connections: usize,
    streams: Vec<TcpStream>,
    /// Counts its lives; connections of an earlier one are closed.
    life: u64,
}

impl Server {
    /// Returns the position of the last commit received.
    fn received(&self) -> (u64, u64) {
        self.log.last().map_or((1, 0), |commit| (commit.term, commit.number))
    }

    /// Returns the commits that are applied.
    pub fn applied(&self) -> &[Commit] {
        let now = Instant::now();
        let count = self.applied_at.iter().take_while(|at| **at <= now).count();
        &self.log[..count]
    }

    /// Returns the position of the last commit that is applied.
    fn position(&self) -> (u64, u64) {
        self.applied().last().map_or((1, 0), |commit| (commit.term, commit.number))
    }

    fn holds(&self, position: (u64, u64)) -> bool {
        let mut applied = self.applied().iter();
        position == (1, 0) || applied.any(|commit| (commit.term, commit.number) == position)
    }

    /// Receives commits, which are applied `lag` later.
    fn receive(&mut self, commits: &[Commit], lag: Duration) {
        self.log.extend_from_slice(commits);
        self.applied_at.resize(self.log.len(), Instant::now() + lag);
    }

    /// Follows a new primary with this log; what it has beyond that is rolled back.
    fn follow(&mut self, log: &[Commit]) {
        let common = self.log.iter().zip(log).take_while(|(own, other)| own == other).count();
        self.log.truncate(common);
        self.applied_at.truncate(common);
        let lag = self.lag;
        self.receive(&log[common..], lag);
    }
}

pub struct Group {
    pub servers: Mutex<Vec<Server>>,
    slot_freed: Condvar,
    pub slots: usize,
    pub sync_replicas: usize,
    pub promote_time: Duration,
    /// The work of a statement, by the text of its item.
    pub work: fn(&str) -> Duration,
    /// The ids of the reads that a server has begun.
    pub runs: Mutex<HashSet<String>>,
    /// The reads that ran, with the server and its position.
    pub reads: Mutex<Vec<(String, String, (u64, u64))>>,
    /// The commits, by the id of the statement: when and at which server.
    pub commits: Mutex<HashMap<String, (Instant, String)>>,
    /// The servers that were promoted, and since when they lead.
    pub leaders: Mutex<Vec<(Instant, String)>>,
    /// When a promoted server began to lead.
    pub led_at: Mutex<Option<Instant>>,
    /// When an order to promote came.
    pub ordered_at: Mutex<Option<Instant>>,
    /// The tenants for which the servers ran clients' statements, by the id of the statement.
    pub tenants: Mutex<HashMap<String, String>>,
    pub record: Arc<Record>,
    store: Arc<Store>,
}

impl Group {
    pub fn new(
        record: &Arc<Record>,
        store: &Arc<Store>,
        sync_replicas: usize,
        work: fn(&str) -> Duration,
        promote_time: Duration,
    ) -> Self {
        Self {
            servers: Mutex::default(),
            slot_freed: Condvar::new(),
            slots: 5,
            sync_replicas,
            promote_time,
            work,
            runs: Mutex::default(),
            tenants: Mutex::default(),
            reads: Mutex::default(),
            commits: Mutex::default(),
            leaders: Mutex::default(),
            led_at: Mutex::default(),
            ordered_at: Mutex::default(),
            record: Arc::clone(record),
            store: Arc::clone(store),
        }
    }

    /// Starts three servers, one in each zone, the first as primary, at free ports of `ip`.
    pub fn start(self: &Arc<Self>, ip: &str, zones: [&str; 3]) {
        for (index, zone) in zones.into_iter().enumerate() {
            let listener = TcpListener::bind((ip, 0)).expect("bind a server");
            let address = listener.local_addr().unwrap();
            self.servers.lock().unwrap().push(Server {
                id: format!("i-{}", ["aa01", "bb02", "cc03"][index]),
                zone: zone.to_owned(),
                address,
                is_primary: index == 0,
                term: 1,
                log: Vec::new(),
                applied_at: Vec::new(),
                lag: Duration::ZERO,
                is_alive: true,
                is_deaf: false,
                is_full: false,
                is_leaving: false,
                sequence: 0,
                born_ms: unix_millis(),
                died_at: None,
                busy: 0,
                waiting: 0,
                connections: 0,
                streams: Vec::new(),
                life: 0,
            });
            let group = Arc::clone(self);
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let group = Arc::clone(&group);
                    thread::spawn(move || group.serve(index, stream));
                }
            });
        }
        self.beat();
        let group = Arc::clone(self);
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                group.beat();
            }
        });
    }

    /// Writes the entries of the servers that live, and removes those that were silent for three
    /// intervals.
    fn beat(&self) {
        let mut servers = self.servers.lock().unwrap();
        for server in servers.iter_mut() {
            if server.is_alive {
                server.sequence += 1;
                self.register(server);
            } else if server.died_at.is_some_and(|at| at.elapsed() > HEARTBEAT * 3) {
                self.store.remove("servers", &server.id);
            }
        }
    }

    fn register(&self, server: &Server) {
        let role = if server.is_primary { "primary" } else { "replica" };
        let state = if server.is_leaving { "draining" } else { "ready" };
        let spec = format!(
            "{{\"backend\":\"{SERVICE}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"slots\":{},\"state\":\"{state}\",\"cold_left_ms\":0,\"db_role\":\"{role}\",\
             \"sequence\":{},\"born\":{}}}",
            server.address, server.zone, self.slots, server.sequence, server.born_ms
        );
        self.store.put("servers", &server.id, &spec);
    }

    /// Ends a server's process: its connections close and new ones are refused.
    pub fn crash(&self, index: usize) {
        let mut servers = self.servers.lock().unwrap();
        let server = &mut servers[index];
        server.is_alive = false;
        server.life += 1;
        server.died_at = Some(Instant::now());
        for stream in server.streams.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.record.line(format!("server {} crashes", server.id));
    }

    /// Carries out the platform's call: the named server leads after some hundred ms.
    pub fn promote(self: &Arc<Self>, id: &str, holder: &str, fence: &str) -> u16 {
        let servers = self.servers.lock().unwrap();
        let index = servers.iter().position(|server| server.id == id && server.is_alive);
        let status = match index {
            None => 409,
            Some(_) => 200,
        };
        self.record.line(format!("promote {id} holder={holder} fence={fence} -> {status}"));
        let Some(index) = index.filter(|index| !servers[*index].is_primary) else {
            return status;
        };
        drop(servers);
        self.ordered_at.lock().unwrap().get_or_insert_with(Instant::now);
        let group = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(group.promote_time);
            group.lead(index);
            thread::sleep(STEP_DOWN);
            group.step_down();
        });
        status
    }

    fn lead(&self, index: usize) {
        let mut servers = self.servers.lock().unwrap();
        if servers[index].is_primary || !servers[index].is_alive {
            return;
        }
        let term = servers.iter().map(|server| server.term).max().unwrap_or(1) + 1;
        let server = &mut servers[index];
        server.is_primary = true;
        server.term = term;
        let (term_held, number) = server.received();
        server.applied_at.fill(Instant::now());
        self.leaders.lock().unwrap().push((Instant::now(), server.id.clone()));
        *self.led_at.lock().unwrap() = Some(Instant::now());
        self.record.line(format!(
            "server {} leads term {term} with what it has received up to {term_held}.{number}",
            server.id
        ));
        self.register(server);
        // Replicas follow the new primary; what they have beyond its log is rolled back. The old
        // primary goes on for a while.
        let log = server.log.clone();
        for (other, server) in servers.iter_mut().enumerate() {
            if other != index && server.is_alive && !server.is_primary {
                self.follow(server, term, &log);
            }
        }
    }

    fn follow(&self, server: &mut Server, term: u64, log: &[Commit]) {
        server.is_primary = false;
        server.term = term;
        if !server.is_deaf {
            server.follow(log);
        }
        self.register(server);
    }

    /// Makes replaced primaries replicas, a while after they can reach the new one.
    fn step_down(&self) {
        let mut servers = self.servers.lock().unwrap();
        let leaders = servers.iter().filter(|server| server.is_alive && server.is_primary);
        let Some(newest) = leaders.max_by_key(|server| server.term) else { return };
        let (term, log) = (newest.term, newest.log.clone());
        for server in servers.iter_mut() {
            if server.is_alive && server.is_primary && server.term < term {
                self.follow(server, term, &log);
            }
        }
    }

    /// Makes a server report that it leaves.
    pub fn drain(&self, index: usize) {
        let mut servers = self.servers.lock().unwrap();
        servers[index].is_leaving = true;
        servers[index].sequence += 1;
        self.register(&servers[index]);
        self.record.line(format!("server {} reports draining", servers[index].id));
    }

    /// Ends a server that has drained, and starts it again under its id, with its log.
    pub fn restart(&self, index: usize) {
        let mut servers = self.servers.lock().unwrap();
        let server = &mut servers[index];
        server.is_leaving = false;
        server.life += 1;
        for stream in server.streams.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        server.sequence = 0;
        server.born_ms = unix_millis();
        self.register(server);
        self.record.line(format!("server {} ends and starts again", server.id));
    }

    fn serve(&self, index: usize, stream: TcpStream) {
        let life = {
            let mut servers = self.servers.lock().unwrap();
            if !servers[index].is_alive {
                return;
            }
            servers[index].connections += 1;
            servers[index].streams.extend(stream.try_clone());
            servers[index].life
        };
        let _ = stream.set_nodelay(true);
        if let (Ok(output), input) = (stream.try_clone(), BufReader::new(stream)) {
            let mut connection = Connection {
                group: self,
                index,
                life,
                output,
                customer: String::new(),
                state: 'I',
                pending: Vec::new(),
                prepared: HashMap::new(),
                values: HashMap::new(),
            };
            connection.run(input);
        }
        let mut servers = self.servers.lock().unwrap();
        servers[index].connections -= 1;
    }
}

struct Connection<'a> {
    group: &'a Group,
    index: usize,
    life: u64,
    output: TcpStream,
    customer: String,
    state: char,
    pending: Vec<(String, String, String)>,
    prepared: HashMap<String, String>,
    values: HashMap<String, String>,
}

impl Connection<'_> {
    fn run(&mut self, input: BufReader<TcpStream>) {
        for line in input.lines() {
            let Ok(line) = line else { return };
            let line = line.trim_end_matches('\r');
            let answer = match line.split_once(' ') {
                Some(("START", fields)) => self.start(fields),
                Some(("QUERY", fields)) => {
                    let (id, text) = fields.split_once(' ').unwrap_or((fields, ""));
                    self.query(id, text)
                }
                _ => return,
            };
            let position = {
                let servers = self.group.servers.lock().unwrap();
                let server = &servers[self.index];
                if server.life != self.life {
                    return;
                }
                server.position()
            };
            let (term, number) = position;
            let is_refused = answer.starts_with("ERR MISROUTED") || answer.starts_with("ERR TOOMANY");
            let ready = format!("READY {} {term}.{number}\r\n", self.state);
            let answer = if is_refused { answer } else { answer + &ready };
            if line.starts_with("QUERY held") {
                self.wait_for_path(&answer);
            }
            if self.output.write_all(answer.as_bytes()).is_err() || is_refused {
                return;
            }
        }
    }

    /// Holds an answer up as long as the path to the instance is cut: until shortly after another
    /// server leads, and [`MAX_CUT`] at most.
    fn wait_for_path(&self, answer: &str) {
        let start = Instant::now();
        self.group.record.line(format!("the answer of {} is held up: {answer:?}", self.name()));
        while start.elapsed() < MAX_CUT {
            let led_at = *self.group.led_at.lock().unwrap();
            if led_at.is_some_and(|at| at.elapsed() > CUT_AFTER_LEAD) {
                break;
            }
            thread::sleep(Duration::from_millis(2));
        }
        self.group.record.line(format!("the answer of {} is delivered", self.name()));
    }

    fn start(&mut self, fields: &str) -> String {
        let fields: Vec<_> = fields.split(' ').collect();
        let servers = self.group.servers.lock().unwrap();
        let server = &servers[self.index];
        if fields.first() != Some(&SERVICE) || fields.get(2).is_some_and(|id| *id != server.id) {
            return format!("ERR MISROUTED {}\r\n", server.id);
        }
        if server.connections > MAX_CONNECTIONS {
            return format!("ERR TOOMANY {}\r\n", server.id);
        }
        drop(servers);
        self.customer = fields.get(1).copied().unwrap_or_default().to_owned();
        thread::sleep(HANDSHAKE);
        String::new()
    }

    /// Takes a slot for the work of a statement. Returns false if the server is full.
    fn work(&self, time: Duration) -> bool {
        let group = self.group;
        let mut servers = group.servers.lock().unwrap();
        if servers[self.index].is_full || servers[self.index].waiting >= QUEUE {
            return false;
        }
        servers[self.index].waiting += 1;
        while servers[self.index].busy >= group.slots {
            servers = group.slot_freed.wait(servers).unwrap();
        }
        servers[self.index].waiting -= 1;
        servers[self.index].busy += 1;
        drop(servers);
        thread::sleep(time);
        group.servers.lock().unwrap()[self.index].busy -= 1;
        group.slot_freed.notify_all();
        true
    }

    fn fail(&mut self, code: &str) -> String {
        if self.state == 'T' {
            self.state = 'E';
        }
        let id = self.group.servers.lock().unwrap()[self.index].id.clone();
        format!("ERR {code} {id}\r\n")
    }

    fn query(&mut self, id: &str, text: &str) -> String {
        let (floor, text) = match text.strip_prefix("AFTER ").and_then(|rest| rest.split_once(' ')) {
            Some((position, rest)) => (read_position(position), rest),
            None => (None, text),
        };
        let mut words: Vec<&str> = text.splitn(3, ' ').collect();
        let shape = match words[..] {
            ["EXEC", name, ..] => match self.prepared.get(name).cloned() {
                Some(shape) => Some(shape),
                None => return self.fail("NOSTMT"),
            },
            _ => None,
        };
        if let Some(shape) = &shape {
            let rest = words.get(2).copied().unwrap_or_default();
            let kind = shape.split(' ').next().unwrap_or_default();
            words = std::iter::once(kind).chain(rest.splitn(2, ' ')).collect();
        }
        let done = "DONE -\r\n".to_owned();
        if self.state == 'E' && !matches!(words[0], "COMMIT" | "ROLLBACK" | "RESET") {
            return self.fail("MALFORMED");
        }
        if id != "-" {
            let mut tenants = self.group.tenants.lock().unwrap();
            tenants.insert(id.to_owned(), self.customer.clone());
            self.group.record.line(format!("server {} gets {id} for tenant {}", self.name(), self.customer));
        }
        match words[..] {
            ["SET", name, value] => {
                self.values.insert(name.to_owned(), value.to_owned());
                done
            }
            ["PREPARE", name, shape] => {
                self.prepared.insert(name.to_owned(), shape.to_owned());
                done
            }
            ["FORGET", name] => {
                self.prepared.remove(name);
                done
            }
            ["RESET"] => {
                self.values.clear();
                self.prepared.clear();
                done
            }
            ["BEGIN"] | ["BEGIN", "READ"] => {
                let servers = self.group.servers.lock().unwrap();
                let server = &servers[self.index];
                let is_behind = floor.is_some_and(|floor| !server.holds(floor));
                let is_wrong = words.len() == 1 && !server.is_primary;
                drop(servers);
                if is_behind {
                    return self.fail("LAGGING");
                }
                if is_wrong {
                    return self.fail("READONLY");
                }
                self.state = 'T';
                done
            }
            ["ROLLBACK"] => {
                self.pending.clear();
                self.state = 'I';
                done
            }
            ["STATUS"] => self.status(),
            ["DEMOTE", term] => self.demote(term.parse().unwrap_or(0)),
            ["READ", item] => self.read(id, floor, item),
            ["WRITE", item, data] => self.write(id, item, data),
            ["COMMIT"] => self.commit(id),
            _ => self.fail("MALFORMED"),
        }
    }

    fn status(&mut self) -> String {
        if !self.work(Duration::from_millis(1)) {
            let id = &self.group.servers.lock().unwrap()[self.index].id;
            self.group.record.line(format!("server {id} is full and answers STATUS with BUSY"));
            return "ERR BUSY full\r\n".to_owned();
        }
        let servers = self.group.servers.lock().unwrap();
        status_row(&servers[self.index])
    }

    fn demote(&mut self, term: u64) -> String {
        let mut servers = self.group.servers.lock().unwrap();
        let newest = servers.iter().filter(|server| server.is_alive && server.is_primary);
        let log = newest.max_by_key(|server| server.term).map(|newest| newest.log.clone());
        let server = &mut servers[self.index];
        if server.is_primary && server.term < term {
            self.group.record.line(format!("server {} is demoted", server.id));
            self.group.follow(server, term, &log.unwrap_or_default());
        }
        status_row(server)
    }

    fn read(&mut self, id: &str, floor: Option<(u64, u64)>, item: &str) -> String {
        let is_behind = {
            let servers = self.group.servers.lock().unwrap();
            floor.is_some_and(|floor| !servers[self.index].holds(floor))
        };
        if is_behind {
            return self.fail("LAGGING");
        }
        let server = self.name();
        self.group.runs.lock().unwrap().insert(id.to_owned());
        self.group.record.line(format!("server {server} runs {id} for {}: READ {item}", self.customer));
        if !self.work((self.group.work)(item)) {
            return "ERR BUSY full\r\n".to_owned();
        }
        self.group.record.line(format!("server {server} has run {id}"));
        let servers = self.group.servers.lock().unwrap();
        let server = &servers[self.index];
        let found = server.applied().iter().rev().find(|commit| commit.item == item);
        let data = found.map_or("none", |commit| commit.data.as_str());
        self.group.reads.lock().unwrap().push((id.to_owned(), server.id.clone(), server.position()));
        format!("ROW {data}\r\nDONE {}\r\n", signature(&server.id, id))
    }

    fn write(&mut self, id: &str, item: &str, data: &str) -> String {
        if !self.is_primary() {
            return self.fail("READONLY");
        }
        if !self.work((self.group.work)(item)) {
            return "ERR BUSY full\r\n".to_owned();
        }
        self.pending.push((item.to_owned(), data.to_owned(), id.to_owned()));
        if self.state == 'T' {
            return format!("DONE {}\r\n", signature(&self.name(), id));
        }
        self.apply(id)
    }

    fn commit(&mut self, id: &str) -> String {
        if self.state == 'E' {
            self.pending.clear();
            self.state = 'I';
            return format!("DONE {}\r\n", signature(&self.name(), id));
        }
        if !self.pending.is_empty() && !self.is_primary() {
            self.pending.clear();
            self.state = 'I';
            return self.fail("READONLY");
        }
        if !self.work(Duration::from_millis(5)) {
            return "ERR BUSY full\r\n".to_owned();
        }
        self.state = 'I';
        self.apply(id)
    }

    /// Commits what is pending. Waits until as many replicas have received it as the service
    /// requires.
    fn apply(&mut self, id: &str) -> String {
        let mut servers = self.group.servers.lock().unwrap();
        if servers[self.index].life != self.life {
            return String::new();
        }
        let (term, mut number) = (servers[self.index].term, servers[self.index].received().1);
        let mut commits = Vec::new();
        if !self.pending.is_empty() {
            number += 1;
        }
        for (item, data, id) in self.pending.drain(..) {
            commits.push(Commit { term, number, item, data, id });
        }
        let primary = servers[self.index].id.clone();
        let mut receivers = Vec::new();
        for (index, server) in servers.iter_mut().enumerate() {
            let is_receiving = index != self.index && server.is_alive && !server.is_deaf;
            if index == self.index || is_receiving {
                let lag = if is_receiving { server.lag } else { Duration::ZERO };
                server.receive(&commits, lag);
            }
            if is_receiving {
                receivers.push(server.id.clone());
            }
        }
        if !commits.is_empty() {
            let commit = (Instant::now(), primary.clone());
            self.group.commits.lock().unwrap().insert(id.to_owned(), commit);
            self.group.record.line(format!(
                "server {primary} commits {id} as {term}.{number}, received by {receivers:?}"
            ));
        }
        if !commits.is_empty() && receivers.len() < self.group.sync_replicas {
            // Not acknowledged: no replica has received it.
            drop(servers);
            thread::sleep(Duration::from_secs(5));
        }
        format!("DONE {}\r\n", signature(&primary, id))
    }

    fn name(&self) -> String {
        self.group.servers.lock().unwrap()[self.index].id.clone()
    }

    fn is_primary(&self) -> bool {
        self.group.servers.lock().unwrap()[self.index].is_primary
    }
}

fn unix_millis() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

fn status_row(server: &Server) -> String {
    let role = if server.is_primary { "primary" } else { "replica" };
    let (term, number) = server.received();
    let (held, busy, connections) = (server.term, server.busy, server.connections);
    format!("ROW {role} {held} {term}.{number} 0 0 {busy} {connections}\r\nDONE -\r\n")
}

fn signature(server: &str, id: &str) -> String {
    let sum = server.bytes().chain(id.bytes()).fold(7_u64, |sum, byte| sum.wrapping_mul(31) + u64::from(byte));
    format!("7.{sum:x}")
}

fn read_position(text: &str) -> Option<(u64, u64)> {
    let (term, number) = text.split_once('.')?;
    Some((term.parse().ok()?, number.parse().ok()?))
}
