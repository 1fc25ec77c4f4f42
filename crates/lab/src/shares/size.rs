//! Sizes of share messages in the `bincode` standard encoding.

use sycamorelink_limits::{AskEntry, GrantEntry, ShareMessage};

/// Bytes of the header of one frame on a stream.
const FRAME_HEAD: u64 = 9;

/// Returns the bytes of one integer in variable-length encoding.
const fn varint(value: u64) -> u64 {
    match value {
        0..=250 => 1,
        251..=0xffff => 3,
        0x1_0000..=0xffff_ffff => 5,
        _ => 9,
    }
}

fn varints<I>(values: I) -> u64
where
    I: IntoIterator<Item = u32>,
{
    values
        .into_iter()
        .map(|value| varint(u64::from(value)))
        .sum()
}

fn ask_size(ask: &AskEntry) -> u64 {
    let numbers = varints([
        ask.number,
        ask.applied,
        ask.held_rate,
        ask.held_slots,
        ask.want_rate,
        ask.want_slots,
        ask.other_rate,
        ask.other_slots,
        ask.need_rate,
        ask.need_slots,
        ask.want_tokens,
    ]);
    varint(ask.customer) + 1 + numbers
}

fn grant_size(grant: &GrantEntry) -> u64 {
    let numbers = varints([
        grant.number,
        grant.rate,
        grant.slots,
        grant.tokens,
        grant.lease_ms,
        grant.renew_ms,
        grant.pause_ms,
    ]);
    varint(grant.customer) + 1 + numbers
}

/// Returns the bytes of a message including its frame header.
pub fn message_size(message: &ShareMessage) -> u64 {
    let body = match message {
        ShareMessage::Ask { layout, entries } => {
            varint(u64::from(*layout)) + entries.iter().map(ask_size).sum::<u64>()
        }
        ShareMessage::Grant { entries } => entries.iter().map(grant_size).sum(),
    };
    FRAME_HEAD + 2 + body
}
