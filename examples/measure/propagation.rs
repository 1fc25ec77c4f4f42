//! Measures how long a contract change takes to be in force on all daemons, by fleet size.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use crate::support::{MeasuredProcess, TOKEN, publish, start_daemon};
use anyhow::{Context, Result, bail};
use hdrhistogram::Histogram;
use serde_json::Value;

/// Numbers of daemons in the measured fleets.
const FLEET_SIZES: [usize; 4] = [5, 10, 20, 40];
/// Contract changes published in each fleet.
const CHANGES_PER_FLEET: u32 = 20;
/// Interval between two status requests to one daemon.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Longest wait until a change is in force on a daemon.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(10);

/// Runs the measurement for every fleet size and prints a table.
pub fn measure_propagation() -> Result<()> {
    println!("time from sending a change until it is in force, over all daemons, in milliseconds");
    for size in FLEET_SIZES {
        let histogram = measure_fleet(size)?;
        println!(
            "daemons={size:4} n={:5} median={:5} p99={:5} longest={:5}",
            histogram.len(),
            histogram.value_at_quantile(0.5),
            histogram.value_at_quantile(0.99),
            histogram.max(),
        );
    }
    Ok(())
}

fn measure_fleet(size: usize) -> Result<Histogram<u64>> {
    let directory = std::env::temp_dir().join(format!("spread-{}-{size}", std::process::id()));
    std::fs::create_dir_all(&directory)?;
    let log = MeasuredProcess::start("sycamorelink", &["stand-in", "log"])?;
    let log_address = log.address("address")?;
    let mut daemons: Vec<MeasuredProcess> = Vec::new();
    for number in 0..size {
        let seed = daemons
            .first()
            .map(|first| first.address("gossip"))
            .transpose()?;
        let name = format!("instance-{number}");
        daemons.push(start_daemon(
            &directory,
            &name,
            &log_address,
            seed.as_deref(),
        )?);
    }
    let operators: Vec<String> = daemons
        .iter()
        .map(|daemon| daemon.address("operators"))
        .collect::<Result<_>>()?;
    let mut version = publish(&operators[0], 0, 1000.0)?;
    wait_for_all(&operators, version, Instant::now())?;
    let mut histogram = Histogram::new(3)?;
    for change in 0..CHANGES_PER_FLEET {
        let sent = Instant::now();
        version = publish(&operators[0], version, 1001.0 + f64::from(change))?;
        for time in wait_for_all(&operators, version, sent)? {
            histogram.record(u64::try_from(time.as_millis())?.max(1))?;
        }
    }
    let _ = std::fs::remove_dir_all(&directory);
    Ok(histogram)
}

/// Returns the time from `sent` until each daemon has the version in force.
fn wait_for_all(operators: &[String], version: u64, sent: Instant) -> Result<Vec<Duration>> {
    let results: Vec<Result<Duration>> = std::thread::scope(|scope| {
        let pollers: Vec<_> = operators
            .iter()
            .map(|address| scope.spawn(move || wait_for_version(address, version, sent)))
            .collect();
        pollers
            .into_iter()
            .map(|poller| poller.join().expect("poller thread panicked"))
            .collect()
    });
    results.into_iter().collect()
}

fn wait_for_version(address: &str, version: u64, sent: Instant) -> Result<Duration> {
    loop {
        if contract_head(address)? >= version {
            return Ok(sent.elapsed());
        }
        if sent.elapsed() > PROPAGATION_TIMEOUT {
            bail!("{address} did not read version {version} in {PROPAGATION_TIMEOUT:?}");
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

fn contract_head(address: &str) -> Result<u64> {
    let mut stream = TcpStream::connect(address)?;
    write!(
        stream,
        "GET /v1/status HTTP/1.1\r\nhost: m\r\nauthorization: Bearer {TOKEN}\r\n\
         connection: close\r\n\r\n"
    )?;
    let mut reply = String::new();
    stream.read_to_string(&mut reply)?;
    let (_, body) = reply
        .split_once("\r\n\r\n")
        .context("the reply is incomplete")?;
    let body: Value = serde_json::from_str(body)?;
    body["contracts"]["head"]
        .as_u64()
        .context("the status has no contracts.head")
}
