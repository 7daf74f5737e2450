use std::time::Duration;

use mustardhinge_core::prelude::MonotonicTime;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::model_server::{ModelServer, SERVICE, SentStatement};
use super::{
    EvenSlotsLine, FairLine, FigureStep, FirstComeLine, LinePolicy, LoadPattern, NextWork,
    PolicyFigures, WaitingStatement,
};

/// Customers; the first two send most.
pub(super) const CUSTOMERS: usize = 8;
/// What each customer sends, of all.
pub(super) const WEIGHTS: [f64; CUSTOMERS] = [0.3, 0.2, 0.15, 0.1, 0.1, 0.05, 0.05, 0.05];
/// Connections of an instance to a server.
pub(super) const CONNECTIONS: usize = 4;
/// The time in which an answer is worth something.
pub(super) const OBJECTIVE: Duration = Duration::from_millis(200);
/// A statement goes to this many servers at most.
const MOST_TRIES: usize = 2;
/// Instances.
const INSTANCES: usize = 7;
/// Servers; the first is the primary.
const SERVERS: usize = 3;
/// Statements that a server runs at once.
const SLOTS: usize = 2;
/// The usual load, of what the servers can do.
const USUAL_LOAD: f64 = 0.5;
/// How long a run takes, in milliseconds.
const DURATION: u64 = 10_000;
/// Length of a step in the figures, in milliseconds.
pub(crate) const STEP: u64 = 250;

/// Runs all policies over a load.
#[must_use]
pub fn run_all(pattern: LoadPattern, seed: u64) -> Vec<PolicyFigures> {
    vec![
        run_policy::<FairLine>(pattern, seed),
        run_policy::<EvenSlotsLine>(pattern, seed),
        run_policy::<FirstComeLine>(pattern, seed),
    ]
}

/// Runs a policy over a load; a seed gives the same statements to each policy.
#[must_use]
pub fn run_policy<P: LinePolicy>(pattern: LoadPattern, seed: u64) -> PolicyFigures {
    let mut run = ModelRun::<P>::new(pattern, seed);
    for now in 0..DURATION {
        run.step(now);
    }
    // What is under way ends.
    for now in DURATION..DURATION + 1_000 {
        run.send(now);
        run.serve(now);
    }
    run.figures
}

struct ModelRun<P> {
    pattern: LoadPattern,
    lines: Vec<P>,
    servers: Vec<ModelServer>,
    arrivals: SmallRng,
    services: SmallRng,
    backlog: f64,
    figures: PolicyFigures,
}

impl<P: LinePolicy> ModelRun<P> {
    fn new(pattern: LoadPattern, seed: u64) -> Self {
        let lines = (0..INSTANCES).map(|_| P::new(INSTANCES, SERVERS, SLOTS));
        let steps = usize::try_from(DURATION / STEP).unwrap_or(0);
        Self {
            pattern,
            lines: lines.collect(),
            servers: (0..SERVERS).map(|_| ModelServer::new(SLOTS)).collect(),
            arrivals: SmallRng::seed_from_u64(seed),
            services: SmallRng::seed_from_u64(seed + 1),
            backlog: 0.0,
            figures: PolicyFigures {
                policy: P::NAME,
                pattern,
                came: 0,
                in_time: 0,
                late: 0,
                refused_early: 0,
                refused_late: 0,
                opened: 0,
                bound: 0.0,
                customers: [(0, 0); CUSTOMERS],
                steps: vec![FigureStep::default(); steps],
            },
        }
    }

    fn step(&mut self, now: u64) {
        let mut came = 0.0;
        for (customer, weight) in WEIGHTS.iter().enumerate() {
            let usual = USUAL_LOAD * (SERVERS * SLOTS) as f64 / SERVICE as f64;
            let load = usual * weight * self.pattern.load(customer, now);
            let count = load.floor() + f64::from(self.arrivals.random_bool(load.fract()));
            came += count;
            // Few come in a millisecond.
            for _ in 0..count as usize {
                let instance = self.arrivals.random_range(0..INSTANCES);
                let statement = WaitingStatement {
                    customer,
                    instance: self.pattern.instance_for(instance, now),
                    came: now,
                    tried: None,
                };
                self.figures.came += 1;
                self.figures.customers[customer].0 += 1;
                self.place(statement, now);
            }
        }
        self.bound(came, now);
        self.send(now);
        self.serve(now);
    }

    /// Counts what servers that waste nothing could have begun in time.
    fn bound(&mut self, came: f64, now: u64) {
        let servers = (0..SERVERS).filter(|server| !self.pattern.is_behind(*server, now));
        let speeds = servers.map(|server| self.pattern.speed(server, now));
        let rate = speeds.sum::<f64>() * SLOTS as f64 / SERVICE as f64;
        self.backlog += came;
        let served = self.backlog.min(rate);
        self.figures.bound += served;
        let most = rate * OBJECTIVE.as_millis() as f64;
        self.backlog = (self.backlog - served).min(most);
    }

    /// Lets a statement wait for the first server that has room for it.
    fn place(&mut self, statement: WaitingStatement, now: u64) {
        let line = &mut self.lines[statement.instance];
        let at = MonotonicTime::from_millis(now);
        let mut tried: Vec<usize> = statement.tried.into_iter().collect();
        while let Some(server) = line.choose(statement.customer, &tried, at) {
            if line.offer(server, statement, at) {
                return;
            }
            tried.push(server);
        }
        self.refuse(statement, now);
    }

    fn send(&mut self, now: u64) {
        let at = MonotonicTime::from_millis(now);
        for instance in 0..INSTANCES {
            for server in 0..SERVERS {
                loop {
                    let line = &mut self.lines[instance];
                    match line.next(server, at) {
                        NextWork::Wait => break,
                        NextWork::Refuse(statement) => self.refuse(statement, now),
                        NextWork::Send(statement) => {
                            let opens = line.opens(server, statement.customer, at);
                            let sent = SentStatement {
                                statement,
                                sent: now,
                                opens,
                            };
                            if self.servers[server].take(sent) {
                                self.figures.opened += u32::from(opens);
                            } else {
                                line.turned_away(server, at);
                                self.again(statement, server, now);
                            }
                        }
                    }
                }
            }
        }
    }

    fn serve(&mut self, now: u64) {
        let at = MonotonicTime::from_millis(now);
        for server in 0..SERVERS {
            let speed = self.pattern.speed(server, now);
            for done in self.servers[server].work(speed, &mut self.services) {
                let line = &mut self.lines[done.statement.instance];
                if self.pattern.is_behind(server, now) {
                    line.behind(server, at);
                    self.again(done.statement, server, now);
                } else {
                    line.answered(server, Duration::from_millis(now - done.sent), at);
                    self.answer(done.statement, now);
                }
            }
        }
    }

    /// Tries another server, if none was tried before.
    fn again(&mut self, statement: WaitingStatement, server: usize, now: u64) {
        let tries = 1 + usize::from(statement.tried.is_some());
        if tries >= MOST_TRIES {
            self.refuse(statement, now);
            return;
        }
        let statement = WaitingStatement {
            tried: Some(server),
            ..statement
        };
        self.place(statement, now);
    }

    fn answer(&mut self, statement: WaitingStatement, now: u64) {
        let took = now - statement.came;
        let is_in_time = Duration::from_millis(took) <= OBJECTIVE;
        if let Some(step) = self.step_of(statement) {
            step.in_time += u32::from(is_in_time);
            step.late += u32::from(!is_in_time);
            step.answer_ms += took;
        }
        self.figures.in_time += u32::from(is_in_time);
        self.figures.late += u32::from(!is_in_time);
        self.figures.customers[statement.customer].1 += u32::from(is_in_time);
    }

    fn refuse(&mut self, statement: WaitingStatement, now: u64) {
        let waited = Duration::from_millis(now - statement.came);
        let is_early = waited <= OBJECTIVE / 4;
        if let Some(step) = self.step_of(statement) {
            step.refused += 1;
        }
        self.figures.refused_early += u32::from(is_early);
        self.figures.refused_late += u32::from(!is_early);
    }

    fn step_of(&mut self, statement: WaitingStatement) -> Option<&mut FigureStep> {
        let step = usize::try_from(statement.came / STEP).ok()?;
        self.figures.steps.get_mut(step)
    }
}
