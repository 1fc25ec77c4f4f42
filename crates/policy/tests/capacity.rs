//! Capacity records, and selection by the expected time to an answer, in virtual time.

#[path = "common/capacity_fleet.rs"]
mod capacity_fleet;

use std::collections::BTreeMap;
use std::time::Duration;

use capacity_fleet::{
    CapacityFleet, MEAN_RUN, REPORT_SIZE, SLOTS, count, report_bytes, service, upstream,
};
use sycamorelink_core::NodeIncarnation;
use sycamorelink_policy::{
    CapacityError, CapacityRecord, CapacityTable, ExpectedTime, LoadHint, SoonestTerms,
    select_freshest,
};

const NODES: usize = 76;
const SERVERS: usize = 64;
/// Time after which the queues of an overloaded fleet are full.
const FILL_TIME: Duration = Duration::from_secs(8);
/// Time of the records in tests without a running fleet.
const REPORTED_AT: Duration = Duration::from_secs(100);
/// Control traffic allowed for one node, in bytes per second.
const MAX_BYTES_PER_SECOND: usize = 7_000;

/// Returns a record of a full server with this wait.
fn waiting_record(server: usize, wait_ms: u32) -> CapacityRecord {
    CapacityRecord {
        id: upstream(server),
        incarnation: NodeIncarnation(1_790_000_000_000),
        sequence: 10,
        in_use: SLOTS,
        limit: SLOTS,
        queued: 20,
        expected_wait_ms: wait_ms,
        mean_run_ms: 900,
        failing: 0,
        relative_run: 0,
        repeats: 1,
        age_ms: 0,
    }
}

/// Returns an idle fleet in which all nodes have the same records of all servers.
fn informed_fleet<F>(record_of: F) -> CapacityFleet
where
    F: Fn(usize) -> CapacityRecord,
{
    let mut fleet = CapacityFleet::new(NODES, SERVERS);
    fleet.now = REPORTED_AT;
    for node in &mut fleet.nodes {
        for server in 0..SERVERS {
            let merged = node.table_mut().merge(REPORTED_AT, record_of(server));
            merged.expect("a valid record");
        }
    }
    fleet
}

/// Returns the table of a node without a server that has one record.
fn table_with(record: CapacityRecord) -> CapacityTable {
    let mut table = CapacityTable::new(upstream(NODES).node);
    assert_eq!(table.merge(REPORTED_AT, record), Ok(true));
    table
}

fn expected_time(fleet: &CapacityFleet, node: usize, server: usize) -> Option<ExpectedTime> {
    let node = &fleet.nodes[node];
    node.pool
        .expected_time(fleet.now, node.table(), upstream(server))
}

// Guards against 76 nodes that all send to the server with the shortest queue, at 2.5 times the
// load that the servers can run.
#[test]
fn queues_of_an_overloaded_fleet_stay_level() {
    let mut fleet = CapacityFleet::new(NODES, SERVERS);
    let rate = fleet.capacity() * 2.5;
    fleet.run_for(FILL_TIME, rate);
    for _ in 0..10 {
        fleet.run_for(Duration::from_millis(200), rate);
        let (greatest, mean) = fleet.queues();
        assert!(greatest < mean * 1.3, "{greatest} waiting, mean {mean}");
    }
}

// Guards against requests that are offered to one full server after the other, at 2.5 times the
// load, and against refusals that leave servers idle.
#[test]
fn overloaded_fleet_makes_few_offers_and_keeps_its_throughput() {
    let mut fleet = CapacityFleet::new(NODES, SERVERS);
    let rate = fleet.capacity() * 2.5;
    fleet.run_for(FILL_TIME, rate);
    let before = fleet.counts;
    fleet.run_for(Duration::from_secs(4), rate);
    let ended = f64::from(fleet.counts.ended - before.ended);
    let offers = f64::from(fleet.counts.offers - before.offers);
    assert!(offers / ended < 1.5, "{offers} offers of {ended} requests");
    let served = f64::from(fleet.counts.served - before.served);
    let possible = fleet.capacity() * 4.0;
    assert!(served > possible * 0.97, "{served} of {possible} served");
    assert!(fleet.counts.refused_at_once > 0, "none refused at once");
}

// Guards against queues that build up at some servers while others have free slots, at nine tenths
// of the load that the servers can run.
#[test]
fn queues_stay_short_below_capacity() {
    let mut fleet = CapacityFleet::new(NODES, SERVERS);
    let rate = fleet.capacity() * 0.9;
    fleet.run_for(FILL_TIME, rate);
    let (greatest, mean) = fleet.queues();
    assert!(
        greatest <= f64::from(SLOTS),
        "{greatest} waiting, mean {mean}"
    );
    assert_eq!(fleet.counts.refused_offers, 0);
    assert_eq!(fleet.counts.refused_at_once, 0);
}

// Guards against nodes with the same records that all choose the server with the shortest wait.
#[test]
fn nodes_with_the_same_records_spread_their_choices() {
    let mut fleet = informed_fleet(|server| {
        let wait_ms = if server == 0 { 4_000 } else { 5_000 };
        waiting_record(server, wait_ms)
    });
    fleet.now += Duration::from_millis(500);
    let mut picks: BTreeMap<_, u32> = BTreeMap::new();
    for _ in 0..10 {
        for node in 0..NODES {
            let picked = fleet.pick(node, &[]).expect("a candidate");
            *picks.entry(picked).or_default() += 1;
        }
    }
    let shortest = picks.get(&upstream(0)).copied().unwrap_or_default();
    let others = 760.0 / count(SERVERS);
    assert!(
        f64::from(shortest) > others,
        "{shortest} chose the shortest"
    );
    assert!(shortest < 760 / 6, "{shortest} chose the shortest");
}

// Guards against a node that ignores records and sends to a server with a wait of 20 s while others
// start at once.
#[test]
fn server_with_a_long_wait_is_not_chosen() {
    let mut fleet = informed_fleet(|server| {
        let slow = waiting_record(server, 20_000);
        let idle = CapacityRecord {
            in_use: 3,
            queued: 0,
            ..waiting_record(server, 0)
        };
        if server == 4 { slow } else { idle }
    });
    for node in SERVERS..NODES {
        assert_ne!(fleet.pick(node, &[]), Some(upstream(4)));
    }
}

// Guards against absurd records that change what a node knows, and against records of the
// receiver's own server that peers relay.
#[test]
fn implausible_and_relayed_own_records_change_nothing() {
    let good = waiting_record(1, 500);
    let mut table = table_with(good);
    let newer = CapacityRecord {
        sequence: 11,
        ..good
    };
    let absurd = [
        CapacityRecord { limit: 0, ..newer },
        CapacityRecord {
            limit: 4_097,
            ..newer
        },
        CapacityRecord {
            in_use: 4_097,
            ..newer
        },
        CapacityRecord {
            expected_wait_ms: 60_001,
            ..newer
        },
        CapacityRecord {
            mean_run_ms: u32::MAX,
            ..newer
        },
        CapacityRecord {
            age_ms: 60_001,
            ..newer
        },
    ];
    for record in absurd {
        assert!(table.merge(REPORTED_AT, record).is_err(), "{record:?}");
    }
    let own = waiting_record(NODES, 500);
    assert_eq!(table.merge(REPORTED_AT, own), Ok(false));
    assert_eq!(table.record(REPORTED_AT, own.id), None);
    assert_eq!(table.record(REPORTED_AT, good.id), Some(good));
    assert_eq!(table.status(REPORTED_AT), (1, Duration::ZERO));
    let error = CapacityRecord { limit: 0, ..newer }.validate();
    assert_eq!(
        error,
        Err(CapacityError::Limit {
            in_use: SLOTS,
            limit: 0
        })
    );
}

// Guards against reports that arrive out of order, or from before a restart of the daemon.
#[test]
fn only_newer_records_replace_known_ones() {
    let good = waiting_record(1, 500);
    let mut table = table_with(good);
    let repeated = CapacityRecord {
        expected_wait_ms: 0,
        ..good
    };
    let earlier_life = CapacityRecord {
        incarnation: NodeIncarnation(1_789_000_000_000),
        sequence: 99,
        ..good
    };
    for record in [repeated, earlier_life] {
        assert_eq!(table.merge(REPORTED_AT, record), Ok(false));
    }
    let next_life = CapacityRecord {
        incarnation: NodeIncarnation(1_791_000_000_000),
        sequence: 1,
        ..good
    };
    assert_eq!(table.merge(REPORTED_AT, next_life), Ok(true));
}

// Guards against decisions on information from before a pause of ten seconds, or from before the
// clock stepped back.
#[test]
fn records_expire_after_a_pause_and_when_the_clock_steps_back() {
    let paused = REPORTED_AT + Duration::from_secs(10);
    let stepped_back = Duration::from_secs(99);
    assert!(stepped_back < REPORTED_AT);
    for now in [paused, stepped_back] {
        let mut fleet = informed_fleet(|server| waiting_record(server, 30_000));
        assert!(fleet.forecast(0).is_some());
        fleet.now = now;
        assert!(!fleet.nodes[0].table().has_reports(now));
        assert_eq!(fleet.forecast(0), None);
        assert!(fleet.pick(0, &[]).is_some());
        let table = fleet.nodes[0].table_mut();
        table.expire(now);
        assert_eq!(table.status(now), (0, Duration::ZERO));
        assert_eq!(table.merge(now, waiting_record(1, 500)), Ok(true));
    }
}

// Guards against old estimates that count as much as fresh ones.
#[test]
fn estimates_approach_the_mean_of_the_service() {
    let mut fleet = informed_fleet(|server| {
        let wait_ms = if server == 0 { 0 } else { 6_400 };
        waiting_record(server, wait_ms)
    });
    let wait = |fleet: &CapacityFleet| expected_time(fleet, NODES - 1, 0).expect("known").wait;
    assert_eq!(wait(&fleet), Duration::ZERO);
    fleet.now = REPORTED_AT + Duration::from_secs(2);
    let after_constant = wait(&fleet).as_secs_f64() / 6.3;
    assert!(
        (0.60..0.66).contains(&after_constant),
        "{after_constant} of the mean"
    );
}

// Guards against a node that sends many requests to one server before the next report of it.
#[test]
fn own_requests_since_the_report_count() {
    let mut fleet = informed_fleet(|server| CapacityRecord {
        in_use: SLOTS - 2,
        queued: 0,
        ..waiting_record(server, 0)
    });
    let node = NODES - 1;
    let sent_at = REPORTED_AT + Duration::from_millis(1);
    fleet.now = sent_at;
    for _ in 0..2 {
        fleet.nodes[node].table_mut().sent(sent_at, upstream(0));
    }
    let two = expected_time(&fleet, node, 0).expect("known").wait;
    assert!(two < Duration::from_millis(1), "{two:?}");
    for _ in 0..3 {
        fleet.nodes[node].table_mut().sent(sent_at, upstream(0));
    }
    let five = expected_time(&fleet, node, 0).expect("known").wait;
    let runs = five.as_secs_f64() / MEAN_RUN.as_secs_f64();
    assert!((0.19..0.21).contains(&runs), "{runs} runs");
    for _ in 0..5 {
        fleet.nodes[node].table_mut().ended(upstream(0), sent_at);
    }
    let ended = expected_time(&fleet, node, 0).expect("known").wait;
    assert!(ended < Duration::from_millis(1), "{ended:?}");
}

// Guards against a report that is preferred to a newer hint from the same server, and the reverse.
#[test]
fn newer_hint_replaces_the_report() {
    let mut fleet = informed_fleet(|server| waiting_record(server, 5_000));
    let node = NODES - 1;
    let idle = LoadHint {
        in_use: 1,
        slots: SLOTS,
        ..LoadHint::default()
    };
    let hinted_at = REPORTED_AT + Duration::from_millis(10);
    fleet.now = hinted_at;
    fleet.nodes[node].pool.hint(hinted_at, upstream(0), idle);
    let hinted = expected_time(&fleet, node, 0).expect("known").wait;
    assert_eq!(hinted, Duration::ZERO);
    let reported = CapacityRecord {
        sequence: 11,
        ..waiting_record(0, 4_000)
    };
    fleet.now = hinted_at + Duration::from_millis(10);
    let table = fleet.nodes[node].table_mut();
    assert_eq!(table.merge(fleet.now, reported), Ok(true));
    let wait = expected_time(&fleet, node, 0).expect("known").wait;
    assert_eq!(wait, Duration::from_secs(4));
}

// Guards against refusals of requests that a server could start at once, and of requests at a node
// that knows few of the servers.
#[test]
fn forecast_refuses_only_what_no_server_can_serve() {
    let left = Duration::from_millis(5_500);
    let mut full = informed_fleet(|server| waiting_record(server, 5_000));
    let forecast = full.forecast(NODES - 1).expect("known servers");
    assert_eq!(forecast.excess(left), Some(Duration::from_millis(400)));
    assert_eq!(forecast.excess(Duration::from_secs(6)), None);
    let mut open = informed_fleet(|server| {
        let full = waiting_record(server, 5_000);
        let free = CapacityRecord {
            in_use: 3,
            queued: 0,
            ..waiting_record(server, 0)
        };
        if server == 9 { free } else { full }
    });
    let forecast = open.forecast(NODES - 1).expect("known servers");
    assert_eq!(forecast.excess(Duration::from_millis(100)), None);
    let mut unknown = CapacityFleet::new(NODES, SERVERS);
    unknown.now = REPORTED_AT;
    let table = unknown.nodes[NODES - 1].table_mut();
    assert_eq!(table.merge(REPORTED_AT, waiting_record(0, 5_000)), Ok(true));
    let forecast = unknown.forecast(NODES - 1).expect("a known server");
    assert_eq!(forecast.excess(left), None);
}

// Guards against repeats that are offered to servers which must refuse them.
#[test]
fn repeats_prefer_servers_that_report_repeats_left() {
    let mut fleet = informed_fleet(|server| CapacityRecord {
        repeats: u16::from(server == 12),
        ..waiting_record(server, 2_000)
    });
    let terms = SoonestTerms {
        kind: 1,
        objective_left: Duration::from_secs(4),
        is_repeat: true,
    };
    let node = &mut fleet.nodes[0];
    let table = node.tables[&service()].clone();
    let picked = node.pool.pick_soonest(fleet.now, &table, &[], &terms);
    assert_eq!(picked, Some(upstream(12)));
}

// Guards against nodes that decide by old records of the unreachable half of the fleet, and against
// records that do not return after the cut.
#[test]
fn each_half_of_a_cut_fleet_knows_its_own_servers() {
    let mut fleet = CapacityFleet::new(NODES, SERVERS);
    let rate = fleet.capacity() * 0.1;
    fleet.run_for(Duration::from_secs(4), rate);
    assert_eq!(known_servers(&fleet, 0), SERVERS);
    fleet.is_cut = true;
    fleet.run_for(Duration::from_secs(6), rate);
    assert_eq!(known_servers(&fleet, 0), NODES / 2);
    assert_eq!(known_servers(&fleet, NODES - 1), SERVERS - NODES / 2);
    assert!(fleet.forecast(0).is_some());
    fleet.is_cut = false;
    fleet.run_for(Duration::from_secs(4), rate);
    assert_eq!(known_servers(&fleet, NODES - 1), SERVERS);
}

fn known_servers(fleet: &CapacityFleet, node: usize) -> usize {
    fleet.nodes[node].table().status(fleet.now).0
}

// Guards against reports and control traffic that grow with the fleet.
#[test]
fn reports_are_bounded_in_fleets_of_76_and_2300() {
    for nodes in [76, 2_300] {
        let mut fleet = CapacityFleet::exchange_only(nodes);
        let seconds = 4;
        fleet.run_for(Duration::from_secs(seconds), 0.0);
        let seconds = usize::try_from(seconds).expect("a few seconds");
        for node in &fleet.nodes {
            assert!(node.largest_report <= REPORT_SIZE);
            let rate = node.bytes_sent / seconds;
            assert!(rate < MAX_BYTES_PER_SECOND, "{rate} bytes per second");
        }
        let largest = fleet.nodes.iter().map(|node| node.largest_report).max();
        assert!(largest > Some(REPORT_SIZE * 9 / 10), "{largest:?}");
    }
}

// Guards against a size limit that is computed from other sizes than those of the encoding.
#[test]
fn computed_size_is_that_of_the_encoding() {
    let records = [
        waiting_record(3, 0),
        CapacityRecord {
            sequence: 70_000,
            queued: 251,
            expected_wait_ms: 60_000,
            failing: 255,
            repeats: 300,
            age_ms: 4_999,
            ..waiting_record(3, 0)
        },
    ];
    for record in records {
        let encoded = bincode::serde::encode_to_vec(record, bincode::config::standard());
        assert_eq!(encoded.expect("encodes").len(), record.encoded_size());
        let tables = BTreeMap::from([(service(), table_with(record))]);
        let report = select_freshest(REPORTED_AT, &tables, REPORT_SIZE);
        let bytes = report_bytes(&report);
        assert_eq!(
            select_freshest(REPORTED_AT, &tables, bytes + 2),
            report,
            "fits into its size and two bytes for a longer list"
        );
        assert!(select_freshest(REPORTED_AT, &tables, bytes - 1).is_empty());
    }
}

// Guards against reports that carry the same few records around, so that most are old or missing.
#[test]
fn records_reach_all_nodes_while_they_are_fresh() {
    let mut fleet = CapacityFleet::new(NODES, SERVERS);
    fleet.run_for(Duration::from_secs(6), 0.0);
    let now = fleet.now;
    let mut ages = Vec::new();
    for node in &fleet.nodes {
        let records = (0..SERVERS).filter_map(|server| node.table().record(now, upstream(server)));
        let node_ages: Vec<f64> = records.map(|record| record.age().as_secs_f64()).collect();
        assert!(node_ages.len() >= SERVERS - 3, "{} known", node_ages.len());
        ages.extend(node_ages);
    }
    let mean_age = ages.iter().sum::<f64>() / count(ages.len());
    assert!(mean_age < 1.5, "mean age {mean_age}s");
}

// Guards against traffic between failure domains while the servers nearby have free slots, and
// against a domain that waits while others have free slots.
#[test]
fn own_domain_is_preferred_unless_it_waits() {
    let is_near = |server: usize| server.is_multiple_of(4);
    let idle = |server: usize| CapacityRecord {
        in_use: 3,
        queued: 0,
        ..waiting_record(server, 0)
    };
    let picks_near = |fleet: &mut CapacityFleet| {
        let picks = (0..100).filter_map(|_| fleet.pick(NODES - 4, &[]));
        let near: Vec<_> = (0..SERVERS)
            .filter(|server| is_near(*server))
            .map(upstream)
            .collect();
        picks.filter(|picked| near.contains(picked)).count()
    };
    let mut fleet = informed_fleet(idle);
    assert_eq!(picks_near(&mut fleet), 100);
    let mut fleet = informed_fleet(|server| {
        if is_near(server) {
            waiting_record(server, 3_000)
        } else {
            idle(server)
        }
    });
    assert_eq!(picks_near(&mut fleet), 0);
}

// Guards against servers that are chosen for their short waits while they fail their requests.
#[test]
fn server_that_reports_failures_is_avoided() {
    let mut fleet = informed_fleet(|server| CapacityRecord {
        in_use: 3,
        queued: 0,
        failing: if server < 32 { 230 } else { 0 },
        ..waiting_record(server, 0)
    });
    let failing: Vec<_> = (0..32).map(upstream).collect();
    for _ in 0..100 {
        let picked = fleet.pick(NODES - 1, &[]).expect("a candidate");
        assert!(!failing.contains(&picked), "{picked}");
    }
}

// Guards against a request that is offered to the same server twice.
#[test]
fn excluded_servers_are_not_chosen() {
    let mut fleet = informed_fleet(|server| waiting_record(server, 1_000));
    let tried: Vec<_> = (0..SERVERS - 1).map(upstream).collect();
    assert_eq!(fleet.pick(NODES - 1, &tried), Some(upstream(SERVERS - 1)));
    let all: Vec<_> = (0..SERVERS).map(upstream).collect();
    assert_eq!(fleet.pick(NODES - 1, &all), None);
}

/// Returns how often each of the first servers was picked, in `count` picks at one node.
fn count_picks(fleet: &mut CapacityFleet, picks: u32) -> Vec<f64> {
    let mut counts = vec![0.0; SERVERS];
    for _ in 0..picks {
        let picked = fleet.pick(NODES - 1, &[]).expect("a candidate");
        let index = (0..SERVERS).find(|server| upstream(*server) == picked);
        counts[index.expect("a known server")] += 1.0;
    }
    counts
}

/// Returns whether a server belongs to the first of two groups, of which each failure domain has
/// equally many.
fn is_first(server: usize) -> bool {
    (server / 4).is_multiple_of(2)
}

/// Returns the share of the picks that went to the first group of servers.
fn share_of_first(fleet: &mut CapacityFleet) -> f64 {
    let counts = count_picks(fleet, 2_000);
    let first = (0..SERVERS).filter(|server| is_first(*server));
    first.map(|server| counts[server]).sum::<f64>() / counts.iter().sum::<f64>()
}

// Guards against a server that counts as slow because it happened to run the kinds of work that
// take long: all servers are equally fast, and half of them ran 1.1 s kinds only.
#[test]
fn servers_with_other_kinds_of_work_compare_equally() {
    let record = |server: usize, relative_run: u8| CapacityRecord {
        in_use: SLOTS - 2,
        queued: 0,
        mean_run_ms: if is_first(server) { 1_100 } else { 700 },
        relative_run,
        ..waiting_record(server, 0)
    };
    let mut fleet = informed_fleet(|server| record(server, 64));
    let share = share_of_first(&mut fleet);
    assert!(
        (0.45..0.55).contains(&share),
        "{share} went to the first group"
    );
    let run = expected_time(&fleet, NODES - 1, 0).expect("known").run;
    assert_eq!(run, Duration::from_millis(900), "the mean of the service");
    // Without relative run times, the mix decides.
    let mut fleet = informed_fleet(|server| record(server, 0));
    let share = share_of_first(&mut fleet);
    assert!(share < 0.4, "{share} went to the first group");
}

// Guards against a slow server that gets as much work as a fast one because it ran the kinds of work
// that are short: its mean run time is the same.
#[test]
fn slow_server_with_short_work_counts_as_slow() {
    let mut fleet = informed_fleet(|server| CapacityRecord {
        in_use: SLOTS - 2,
        queued: 0,
        relative_run: if is_first(server) { 85 } else { 43 },
        ..waiting_record(server, 0)
    });
    let share = share_of_first(&mut fleet);
    assert!(share < 0.4, "{share} went to slow servers");
}

// Guards against slow servers that hold requests which faster ones would answer earlier, and against
// fast servers that get all of the work: half of the servers take twice as long. Below the capacity
// the fast ones get somewhat more than in proportion, because a reply there is earlier.
#[test]
fn servers_get_work_in_proportion_to_their_speed() {
    for (load, highest) in [(0.8, 2.6), (1.5, 2.2)] {
        let mut fleet = CapacityFleet::new(NODES, SERVERS);
        for (index, server) in fleet.servers.iter_mut().enumerate() {
            server.relative_run = if is_first(index) { 43 } else { 85 };
        }
        // The mean of the speeds 64/43 and 64/85 is 1.12.
        let rate = fleet.capacity() * 1.12 * load;
        fleet.run_for(FILL_TIME, rate);
        for server in &mut fleet.servers {
            server.served = 0;
        }
        fleet.run_for(Duration::from_secs(8), rate);
        let served = |first: bool| -> u32 {
            let servers = fleet.servers.iter().enumerate();
            let group = servers.filter(|(index, _)| is_first(*index) == first);
            group.map(|(_, server)| server.served).sum()
        };
        let ratio = f64::from(served(true)) / f64::from(served(false));
        println!("load {load}: fast servers served {ratio:.2} times as much");
        assert!((1.8..highest).contains(&ratio), "load {load}: {ratio}");
    }
}

// Guards against a failing server that attracts work because its failures are fast: with a reported
// run time of 20 ms it gets no more than with the usual one.
#[test]
fn fast_failures_attract_no_work() {
    let fleet_with = |run_ms: u32, relative_run: u8| {
        informed_fleet(|server| {
            if server == 3 {
                CapacityRecord {
                    in_use: 3,
                    queued: 0,
                    failing: 230,
                    mean_run_ms: run_ms,
                    relative_run,
                    ..waiting_record(server, 0)
                }
            } else {
                CapacityRecord {
                    relative_run: 64,
                    ..waiting_record(server, 2_000)
                }
            }
        })
    };
    for (run_ms, relative_run) in [(900, 64), (20, 1), (20, 0)] {
        let mut fleet = fleet_with(run_ms, relative_run);
        let counts = count_picks(&mut fleet, 500);
        assert!(counts[3] < 1.0, "run time {run_ms}ms: {}", counts[3]);
    }
}
