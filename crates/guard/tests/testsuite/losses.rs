//! Failures of seats: killed, paused, replaced, restarted in turn, lost together.

use std::collections::BTreeSet;

use insta::assert_snapshot;
use sycamorelink_core::DomainName;
use sycamorelink_guard::{GuardEvent, GuardMessage, GuardSettings, RangeId};

use crate::fleet::{FakeFleet, ms, test_settings};
use crate::session::FaultSession;

/// A seat's instance is lost while the log is down. The other two seats choose the next generation
/// without the log, the new seat copies the records, and bookings run. A resend of an earlier
/// booking gets its reply.
#[test]
fn killed_seat_is_replaced_while_the_log_is_down() {
    let mut session = FaultSession::open(5);
    session.fleet.set_log(false);
    let seats = session.seats(0);
    let ingress = session.others(0)[0];
    let before = session.key(1);
    session.send(0xa1, before, ingress, ingress, 2_000);
    session.wait(500);
    session.fleet.kill(seats[2]);
    session.send(0xa2, session.key(2), ingress, ingress, 5_000);
    session.wait(4_000);
    session.send(0xa3, before, ingress, seats[0], 2_000);
    session.wait(500);
    assert_snapshot!(session.finish());
}

/// A seat and an ingress are paused longer than every timeout. Meanwhile the seat is replaced, and
/// a booking runs under the next generation. Both resume with the old map, and the booking is
/// resent. A dispatch needs the grants of all seats, and the other seats return the newer map, so
/// the resend gets the reply of the first run.
#[test]
fn paused_seat_and_ingress_resume_after_replacement() {
    let mut session = FaultSession::open(6);
    let seats = session.seats(0);
    let others = session.others(0);
    let key = session.key(1);
    session.fleet.tracing = false;
    session.fleet.freeze(seats[2]);
    session.fleet.freeze(others[0]);
    session.wait(4_000);
    session.send(0xb1, key, others[1], others[2], 2_000);
    session.wait(500);
    session.fleet.tracing = true;
    session.fleet.thaw(session.fleet.process_at[seats[2]]);
    session.fleet.thaw(session.fleet.process_at[others[0]]);
    session.send(0xb2, key, others[0], others[0], 2_000);
    session.wait(2_500);
    assert_snapshot!(session.finish());
}

/// A seat and an ingress can reach only each other. Meanwhile the seat is replaced, and a booking
/// runs under the next generation. The booking is resent to the isolated ingress, and the outdated
/// seat grants it. This single grant is no proof that the key did not run, so the answer must be
/// "unknown" and not "not run".
#[test]
fn grant_of_outdated_seat_is_no_proof() {
    let mut session = FaultSession::open(6);
    let seats = session.seats(0);
    let others = session.others(0);
    let key = session.key(1);
    let inside = [seats[2], others[0]];
    let outside: Vec<usize> = (0..6).filter(|node| !inside.contains(node)).collect();
    for node in inside {
        session.isolate(node, &outside);
        let process = session.fleet.process_at[node];
        session.fleet.report_down_to_all(process);
    }
    session.wait(4_000);
    session.send(0xc1, key, others[1], others[2], 2_000);
    session.wait(500);
    assert_eq!(session.answer(0xc1), "ran by the executor");
    session.send(0xc2, key, others[0], others[0], 2_000);
    session.wait(2_500);
    assert_eq!(session.answer(0xc2), "unknown guards-unreachable");
    let trace = session.finish();
    assert!(trace.contains("ClaimReply c2.0 Granted"), "{trace}");
}

/// A seat's instance is replaced at the same address, without state and before its loss is
/// detected. The new instance must not answer as the old seat. The next generation is chosen, and a
/// resend gets the reply.
#[test]
fn replaced_instance_does_not_answer_as_old_seat() {
    let mut session = FaultSession::open(5);
    let seats = session.seats(0);
    let ingress = session.others(0)[0];
    let key = session.key(1);
    session.send(0xd1, key, ingress, ingress, 2_000);
    session.wait(500);
    session.fleet.kill(seats[1]);
    session.fleet.replace(seats[1]);
    session.send(0xd2, key, ingress, seats[0], 4_000);
    session.wait(4_000);
    assert_snapshot!(session.finish());
}

/// A claim has two of three grants when the third seat stops responding. The claim continues under
/// the next generation with the same attempt, and the booking runs once.
#[test]
fn claim_continues_after_generation_change() {
    let mut session = FaultSession::open(5);
    let seats = session.seats(0);
    let ingress = session.others(0)[0];
    session.fleet.freeze(seats[0]);
    let key = session.key(1);
    session.send(0xe1, key, ingress, ingress, 5_000);
    session.wait(5_500);
    assert_snapshot!(session.finish());
}

/// Every daemon is drained, ended and started again in turn while the log is down. Each leaving
/// seat hands over its records first. A resend of an earlier booking still gets its reply, although
/// all processes have been replaced.
#[test]
fn rolling_replacement_keeps_records() {
    let mut session = FaultSession::open(5);
    session.fleet.set_log(false);
    let key = session.key(1);
    session.send(0xf1, key, 0, 1, 2_000);
    session.wait(500);
    session.fleet.tracing = false;
    for node in 0..5 {
        session.drain_and_replace(node);
    }
    session.fleet.tracing = true;
    session.send(0xf2, key, 2, 3, 2_000);
    session.wait(500);
    assert_snapshot!(session.finish());
}

/// Two of three seats are lost at once. The third cannot continue alone, because the two might only
/// be cut off and continue without it. Once their replacements prove that they have ended, the
/// third seat polls every member and founds the next epoch through the log. Its records survive, so
/// the resend gets the reply.
#[test]
fn surviving_seat_founds_after_two_losses() {
    let mut session = FaultSession::open(5);
    let seats = session.seats(0);
    let ingress = session.others(0)[0];
    let key = session.key(1);
    session.send(0x11, key, ingress, ingress, 2_000);
    session.wait(500);
    session.fleet.kill(seats[0]);
    session.fleet.kill(seats[1]);
    session.send(0x12, session.key(2), ingress, ingress, 1_500);
    session.wait(2_000);
    assert_eq!(session.answer(0x12), "unknown guards-unreachable");
    session.fleet.replace(seats[0]);
    session.fleet.replace(seats[1]);
    session.wait(4_000);
    session.send(0x13, key, ingress, seats[2], 2_000);
    session.wait(500);
    assert_snapshot!(session.finish());
}

/// Two nodes of three are lost at once, and with them the majority of every range. The log accepts
/// two appends per second from a node, so the survivor must found all ranges in a few appends and
/// not with one append per range.
#[test]
fn lost_ranges_are_founded_in_few_appends() {
    let settings = GuardSettings {
        ranges: 48,
        ..test_settings()
    };
    let mut fleet = FakeFleet::founded(3, 3, settings, 1);
    let before = fleet.log.len();
    for node in [0, 1] {
        fleet.kill(node);
        fleet.replace(node);
    }
    fleet.run_for(ms(8_000));
    let founded: BTreeSet<RangeId> = fleet.log[before..]
        .iter()
        .flatten()
        .map(|record| record.range)
        .collect();
    assert_eq!(founded.len(), 48);
    let appends = fleet.log.len() - before;
    assert!(appends <= 8, "{appends} appends");
    let survivor = fleet.process_at[2];
    assert_eq!(fleet.processes[survivor].guard.counts().closed_ranges, 0);
}

/// All three seats and their records are lost at once. The range is founded again: earlier keys are
/// answered "unknown" and never run, newer keys run.
#[test]
fn loss_of_all_seats_makes_old_keys_unknown() {
    let mut session = FaultSession::open(6);
    let seats = session.seats(0);
    let ingress = session.others(0)[0];
    let key = session.key(1);
    session.send(0x21, key, ingress, ingress, 2_000);
    session.wait(500);
    for seat in seats {
        session.fleet.kill(seat);
        session.fleet.replace(seat);
    }
    session.wait(8_000);
    session.send(0x22, key, ingress, ingress, 2_000);
    session.send(0x23, session.key(2), ingress, ingress, 2_000);
    session.wait(500);
    assert_eq!(session.answer(0x22), "unknown key-expired");
    assert_eq!(session.answer(0x23), "ran by the executor");
    assert_snapshot!(session.finish());
}

/// A seat is cut off from the fleet while the other two are replaced, so its generation is
/// outdated. The seat then learns that both have ended, and can reach the log. It must not found
/// the range again, because it does not know the live seats of the later generation: the poll keeps
/// the range closed at this node until the cut heals.
#[test]
fn cut_off_survivor_does_not_found() {
    let mut session = FaultSession::open(7);
    let seats = session.seats(0);
    let everybody: Vec<usize> = (0..7).collect();
    session.isolate(seats[2], &everybody);
    let process = session.fleet.process_at[seats[2]];
    session.fleet.report_down_to_all(process);
    session.wait(3_000);
    session.drain_and_replace(seats[0]);
    session.drain_and_replace(seats[1]);
    let others = session.others(seats[0]);
    let ingress = if others[0] == seats[2] {
        others[1]
    } else {
        others[0]
    };
    let key = session.key(1);
    session.send(0x31, key, ingress, ingress, 2_000);
    session.wait(3_000);
    let closed = session.fleet.processes[process]
        .guard
        .counts()
        .closed_ranges;
    assert_eq!(closed, 1, "the survivor sees that its generation is lost");
    assert_eq!(session.answer(0x31), "ran by the executor");
    session.fleet.cuts.clear();
    session.fleet.report_up_to_all(process);
    session.wait(3_000);
    session.send(0x32, key, seats[2], seats[2], 2_000);
    session.wait(500);
    assert_eq!(session.answer(0x32), "ran, reply kept");
    assert_eq!(
        session.fleet.log.len(),
        1,
        "only the first founding is in the log"
    );
    session.finish();
}

/// The oldest booking was dropped from a full store, and then every seat is replaced. The watermark
/// is part of the custody transfer, so the new seats answer the resend with "unknown".
#[test]
fn custody_transfer_includes_watermark() {
    let mut session = FaultSession::with_keys(5, 4);
    let key = session.key(1);
    session.send(0x41, key, 0, 1, 2_000);
    for number in 2..10 {
        session.wait(100);
        let next = session.key(number);
        session.send(0x40 + number, next, 0, 1, 2_000);
    }
    for node in session.seats(0) {
        session.drain_and_replace(node);
    }
    session.send(0x4f, key, 0, 1, 2_000);
    session.wait(500);
    assert_eq!(session.answer(0x4f), "unknown key-expired");
    session.finish();
}

/// Two seats suspect each other because of a cut between them. If the suspicion of one seat were
/// enough, they would replace each other in turn, and every booking would restart its claim each
/// time. The third seat sees both as up and objects, so the generation stays and bookings run.
#[test]
fn suspicion_of_one_seat_is_not_enough() {
    let mut session = FaultSession::open(5);
    let seats = session.seats(0);
    let processes = [seats[0], seats[2]].map(|node| session.fleet.process_at[node]);
    session.isolate(seats[0], &[seats[2]]);
    session
        .fleet
        .report_down(processes[0], processes[1], ms(10));
    session
        .fleet
        .report_down(processes[1], processes[0], ms(10));
    session.wait(20_000);
    session.send(0x51, session.key(1), 0, 1, 2_000);
    session.wait(500);
    assert_eq!(session.answer(0x51), "ran by the executor");
    assert_eq!(session.seats(0), seats);
    session.finish();
}

/// Two seats suspect each other, and the third has certainly ended. Both object to their own
/// replacement but agree on the third seat, which is replaced, and bookings run.
#[test]
fn ended_seat_is_replaced_before_suspected_ones() {
    let mut session = FaultSession::open(6);
    let seats = session.seats(0);
    let processes = [seats[0], seats[1]].map(|node| session.fleet.process_at[node]);
    session
        .fleet
        .report_down(processes[0], processes[1], ms(10));
    session
        .fleet
        .report_down(processes[1], processes[0], ms(10));
    session.wait(3_000);
    session.fleet.kill(seats[2]);
    session.fleet.replace(seats[2]);
    session.wait(20_000);
    let ingress = session.others(0)[0];
    session.send(0x71, session.key(1), ingress, ingress, 2_000);
    session.wait(500);
    assert_eq!(session.answer(0x71), "ran by the executor");
    session.finish();
}

/// All seats are lost. Between the founder's two polls, another member learns of a later generation
/// whose seats have ended as well. The founder has fenced the epoch but must still adopt that
/// generation, or it would poll about the previous one forever.
#[test]
fn founder_adopts_later_generation() {
    let mut session = FaultSession::open(6);
    let seats = session.seats(0);
    let others = session.others(0);
    let witness = session.fleet.process_at[others[1]];
    let map = session.fleet.processes[witness].guard.map();
    let entry = map.get(RangeId(0)).cloned().expect("a founded range");
    for seat in seats {
        session.fleet.kill(seat);
        session.fleet.replace(seat);
    }
    session.wait(1_700);
    let from = session.fleet.instance(others[2]);
    let entries = vec![entry.successor(entry.seats.clone())];
    let message = GuardMessage::Map { entries };
    session
        .fleet
        .handle_event(witness, GuardEvent::Message { from, message });
    session.wait(15_000);
    session.send(0x81, session.key(1), others[0], others[1], 2_000);
    session.wait(500);
    assert_eq!(session.answer(0x81), "ran by the executor");
    session.finish();
}

/// Two seats are lost, and the third founds the next epoch and ends before the new seats copied its
/// records. Two of the three new seats are alive, but no instance holds the records. The range is
/// founded once more without them: the earlier key is "unknown", and a newer one runs.
#[test]
fn range_without_records_is_founded_again() {
    let mut session = FaultSession::open(6);
    let seats = session.seats(0);
    let ingress = session.others(0)[0];
    let key = session.key(1);
    session.send(0x91, key, ingress, ingress, 2_000);
    session.wait(500);
    for seat in [seats[0], seats[1]] {
        session.fleet.kill(seat);
        session.fleet.replace(seat);
    }
    let founder = session.fleet.process_at[seats[2]];
    for _ in 0..10_000 {
        if session.fleet.log.len() > 1 {
            break;
        }
        session.wait(1);
    }
    assert!(session.fleet.processes[founder].alive && session.fleet.log.len() > 1);
    session.fleet.kill(seats[2]);
    session.wait(2_000);
    session.fleet.replace(seats[2]);
    session.wait(15_000);
    session.send(0x92, key, ingress, ingress, 2_000);
    session.send(0x93, session.key(2), ingress, ingress, 2_000);
    session.wait(2_500);
    assert_eq!(session.answer(0x92), "unknown key-expired");
    assert_eq!(session.answer(0x93), "ran by the executor");
    session.finish();
}

/// Two processes run under one node name by mistake, and the older one holds a seat. Once it learns
/// of the newer one, it must stop granting, because other seats may be founded without it. It
/// proposes its own replacement, and the booking runs under the next generation.
#[test]
fn superseded_seat_stops_granting() {
    let mut session = FaultSession::open(5);
    let seats = session.seats(0);
    let ingress = session.others(0)[0];
    let process = session.fleet.process_at[seats[0]];
    let mut instance = session.fleet.processes[process].instance;
    instance.incarnation.0 += 1;
    let domain = DomainName::new("d0");
    let newer = GuardEvent::MemberUp { instance, domain };
    session.fleet.handle_event(process, newer);
    session.send(0x61, session.key(1), ingress, ingress, 2_000);
    session.wait(2_500);
    assert_eq!(session.answer(0x61), "ran by the executor");
    assert!(!session.seats(ingress).contains(&seats[0]));
    let trace = session.finish();
    assert!(trace.contains("ClaimReply 61.0 NotServing"), "{trace}");
}

/// A seat with more records than fit into one message is replaced. The new seat copies them in
/// chunks and must hold all of them when it serves.
#[test]
fn large_store_is_copied_in_chunks() {
    const KEYS: u128 = 1_300;
    let mut session = FaultSession::open(5);
    session.fleet.tracing = false;
    for number in 1..=KEYS {
        let key = session.key(number);
        session.send(number, key, 0, 1, 2_000);
        session.wait(1);
    }
    session.wait(500);
    let lost = session.seats(0)[1];
    let before = session.seats(0);
    session.fleet.kill(lost);
    session.wait(4_000);
    let after = session.seats(0);
    let new = after.iter().find(|seat| !before.contains(seat));
    let process = session.fleet.process_at[*new.expect("a new seat")];
    let counts = session.fleet.processes[process].guard.counts();
    assert_eq!((counts.seats, counts.keys), (1, 1_300));
}

/// A seat is cut off. The others replace it, run a booking, and are then all replaced at once
/// without state. Only the cut-off seat still has records, but not those of the last generation, of
/// which no remaining node knows. After a founding from this seat the booking must not run again:
/// older keys without a record are "unknown", recorded keys keep their reply.
#[test]
fn founding_from_outdated_seat_does_not_rerun_keys() {
    let mut session = FaultSession::open(4);
    let seats = session.seats(0);
    let known = session.key(1);
    session.send(0xd1, known, seats[0], seats[1], 2_000);
    session.wait(500);
    let survivor = seats[2];
    session.isolate(survivor, &[0, 1, 2, 3]);
    let process = session.fleet.process_at[survivor];
    session.fleet.report_down_to_all(process);
    session.wait(3_000);
    let missed = session.key(2);
    session.send(0xd2, missed, seats[0], seats[1], 2_000);
    session.wait(500);
    assert_eq!(session.answer(0xd2), "ran by the executor");
    for node in (0..4).filter(|node| *node != survivor) {
        session.fleet.kill(node);
        session.fleet.replace(node);
    }
    session.fleet.cuts.clear();
    session.fleet.report_up_to_all(process);
    session.wait(12_000);
    session.send(0xd3, missed, seats[0], seats[1], 2_000);
    session.send(0xd4, known, seats[0], seats[1], 2_000);
    session.send(0xd5, session.key(3), seats[0], seats[1], 2_000);
    session.wait(2_500);
    session.finish();
    assert_eq!(session.answer(0xd3), "unknown key-expired");
    assert_eq!(session.answer(0xd4), "ran, reply kept");
    assert_eq!(session.answer(0xd5), "ran by the executor");
}

/// A fleet grows from one daemon. New daemons take seats after they copied the records, and a
/// resend gets its reply after the first daemon was replaced.
#[test]
fn fleet_grows_from_one_daemon() {
    let mut session = FaultSession::open(1);
    let key = session.key(1);
    session.send(0xb1, key, 0, 0, 2_000);
    session.wait(500);
    assert_eq!(session.answer(0xb1), "ran by the executor");
    for _ in 0..3 {
        session.fleet.join();
        session.wait(1_500);
    }
    assert_eq!(session.seats(0).len(), 3);
    session.drain_and_replace(0);
    session.send(0xb2, key, 0, 0, 2_000);
    session.wait(500);
    assert_eq!(session.answer(0xb2), "ran, reply kept");
    session.finish();
}

/// The only daemon of a fleet is replaced without state. The earlier booking is "unknown" and never
/// runs again, newer ones run.
#[test]
fn restarted_single_daemon_answers_unknown() {
    let mut session = FaultSession::open(1);
    let key = session.key(1);
    session.send(0xc1, key, 0, 0, 2_000);
    session.wait(500);
    session.fleet.kill(0);
    session.fleet.replace(0);
    session.wait(10_000);
    session.send(0xc2, key, 0, 0, 2_000);
    session.send(0xc3, session.key(2), 0, 0, 2_000);
    session.wait(2_500);
    assert_eq!(session.answer(0xc2), "unknown key-expired");
    assert_eq!(session.answer(0xc3), "ran by the executor");
    session.finish();
}
