//! Helpers for the tests of the log client.

#![allow(dead_code, reason = "each test binary uses its part")]

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use sycamorelink_log::{HttpLogClient, HttpLogSettings, ReadRange};
use sycamorelink_standin::{LogStandin, LogStandinSettings, RunningLog};

/// Maximum duration of every wait.
const WAIT_LIMIT: Duration = Duration::from_secs(20);

pub const STREAM: &str = "contracts";

pub fn run_local<F>(test: F)
where
    F: Future<Output = ()>,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        tokio::time::timeout(WAIT_LIMIT, test)
            .await
            .expect("in time");
    });
}

pub async fn start_log(settings: LogStandinSettings) -> RunningLog {
    let bind = SocketAddr::from(([127, 0, 0, 1], 0));
    LogStandin::start(bind, settings).await.unwrap()
}

pub fn client_for(address: SocketAddr) -> HttpLogClient {
    let settings = HttpLogSettings {
        append_limit: Duration::from_millis(300),
        read_limit: Duration::from_millis(300),
        ..HttpLogSettings::default()
    };
    HttpLogClient::new(address, settings)
}

pub fn range_from(offset: u64) -> ReadRange {
    ReadRange {
        from: offset,
        max: 100,
        wait: Duration::ZERO,
    }
}
