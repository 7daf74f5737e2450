//! A client's session over the line protocol.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

pub struct Session {
    output: TcpStream,
    input: BufReader<TcpStream>,
}

/// How a request ended, as the client saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// `DONE`, with the rows.
    Done(Vec<String>),
    /// `ERR` with this code.
    Error(String),
    /// The connection ended before the whole answer.
    Cut,
    /// No whole answer within the client's deadline.
    Late,
}

impl Session {
    /// Connects and starts a session. Returns how that ended if no session began.
    pub fn open(address: SocketAddr, database: &str, key: &str) -> Result<Self, End> {
        let limit = Duration::from_secs(2);
        let stream = TcpStream::connect_timeout(&address, limit).map_err(|_| End::Cut)?;
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(limit));
        let output = stream.try_clone().map_err(|_| End::Cut)?;
        let mut session = Self {
            output,
            input: BufReader::new(stream),
        };
        let start = format!("START {database} {key}\r\n");
        session
            .output
            .write_all(start.as_bytes())
            .map_err(|_| End::Cut)?;
        match session.line()? {
            line if line.starts_with("READY ") => Ok(session),
            line => Err(End::Error(line)),
        }
    }

    /// Sends a request. Returns whether it was sent whole.
    pub fn send(&mut self, id: &str, text: &str) -> bool {
        self.output
            .write_all(format!("QUERY {id} {text}\r\n").as_bytes())
            .is_ok()
    }

    /// Waits for the answer, for `limit` without progress at most.
    pub fn receive(&mut self, limit: Duration) -> End {
        let _ = self.output.set_read_timeout(Some(limit));
        let mut rows = Vec::new();
        let mut end = None;
        loop {
            let line = match self.line() {
                Ok(line) => line,
                Err(end) => return end,
            };
            let (word, rest) = line.split_once(' ').unwrap_or((&line, ""));
            match word {
                "ROW" => rows.push(rest.to_owned()),
                "DONE" => end = Some(End::Done(std::mem::take(&mut rows))),
                "ERR" => {
                    let code = rest.split(' ').next().unwrap_or_default();
                    end = Some(End::Error(code.to_owned()));
                }
                "READY" => return end.unwrap_or(End::Error("READY without an answer".to_owned())),
                _ => return End::Error(line),
            }
        }
    }

    /// Sends a request and waits for its answer.
    pub fn ask(&mut self, id: &str, text: &str, limit: Duration) -> End {
        if !self.send(id, text) {
            return End::Cut;
        }
        self.receive(limit)
    }

    pub fn bye(mut self) {
        let _ = self.output.write_all(b"BYE\r\n");
    }

    fn line(&mut self) -> Result<String, End> {
        let mut line = String::new();
        match self.input.read_line(&mut line) {
            Ok(_) if line.ends_with("\r\n") => Ok(line.trim_end().to_owned()),
            Ok(_) => Err(End::Cut),
            Err(error)
                if matches!(
                    error.kind(),
                    std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                ) =>
            {
                Err(End::Late)
            }
            Err(_) => Err(End::Cut),
        }
    }
}
