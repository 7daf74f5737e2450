use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use anyhow::{Context, bail};

use super::{ProcessUsage, SlopePoint};
use crate::load::{DeploymentName, DeploymentProfile};
use crate::run::Fleet;

/// The numbers of idle connections measured.
const CONNECTION_COUNTS: [u32; 4] = [100, 1_000, 4_000, 8_000];

/// How long idle connections are watched.
const WATCH_TIME: Duration = Duration::from_secs(3);

/// The version of the protocol in a startup packet.
const PROTOCOL_VERSION: i32 = 196_608;

/// The type of the message that ends the startup.
const READY_MESSAGE: u8 = b'Z';

/// Measures the memory and processor time of idle connections at an entry.
pub(super) fn measure_connections() -> anyhow::Result<Vec<SlopePoint>> {
    let runtime = tokio::runtime::Runtime::new()?;
    let mut profile = DeploymentProfile::of(DeploymentName::Muscat);
    profile.instances = 1;
    profile.services.truncate(1);
    let service = profile.services[0].to_string();
    let fleet = runtime.block_on(Fleet::start(profile, None, &Default::default()))?;
    let endpoints = runtime.block_on(fleet.entry_addresses());
    let address = *endpoints.first().context("no instance runs")?;
    let mut held = Vec::new();
    let mut points = Vec::new();
    let before = ProcessUsage::read_own()?;
    for count in CONNECTION_COUNTS {
        while held.len() < count as usize {
            held.push(open_idle(address, &service)?);
        }
        points.push(measure_point(before, count)?);
    }
    drop(held);
    runtime.block_on(fleet.end());
    Ok(points)
}

fn measure_point(before: ProcessUsage, count: u32) -> anyhow::Result<SlopePoint> {
    let start = ProcessUsage::read_own()?;
    let watch = Instant::now();
    std::thread::sleep(WATCH_TIME);
    let end = ProcessUsage::read_own()?;
    let grown = u32::try_from(end.resident_bytes.saturating_sub(before.resident_bytes))?;
    let cpu = (end.cpu.saturating_sub(start.cpu)).as_secs_f64() / watch.elapsed().as_secs_f64();
    Ok(SlopePoint {
        slope: "connections".to_owned(),
        unit: "idle connection (processor time: of the whole process, a second)".to_owned(),
        size: count.into(),
        cpu_us_per_operation: Some(cpu * 1e6),
        bytes_per_unit: Some(f64::from(grown) / f64::from(count)),
        platform_calls_per_s: None,
    })
}

/// Opens a connection of a caller without a key and waits until it is served.
fn open_idle(address: SocketAddr, service: &str) -> anyhow::Result<TcpStream> {
    let mut stream = TcpStream::connect(address)?;
    let mut body = PROTOCOL_VERSION.to_be_bytes().to_vec();
    for text in ["user", "anyone", "database", service] {
        body.extend_from_slice(text.as_bytes());
        body.push(0);
    }
    body.push(0);
    stream.write_all(&frame_length(body.len()))?;
    stream.write_all(&body)?;
    // An empty password: a caller without a key.
    stream.write_all(b"p")?;
    stream.write_all(&frame_length(1))?;
    stream.write_all(&[0])?;
    loop {
        let mut head = [0; 5];
        stream.read_exact(&mut head)?;
        let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]);
        let mut rest = vec![0; (length as usize).saturating_sub(4)];
        stream.read_exact(&mut rest)?;
        match head[0] {
            READY_MESSAGE => return Ok(stream),
            b'E' => bail!("the entry refused: {}", String::from_utf8_lossy(&rest)),
            _ => {}
        }
    }
}

fn frame_length(body: usize) -> [u8; 4] {
    u32::try_from(body + 4).unwrap_or(u32::MAX).to_be_bytes()
}
