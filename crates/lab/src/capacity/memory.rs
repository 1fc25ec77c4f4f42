//! Resident memory and processor time of this process, as reported by the kernel.

use std::fs;
use std::time::Duration;

use anyhow::{Context, Result};

/// Bytes of one kibibyte.
const KIB: u64 = 1_024;

/// Returns the resident memory of this process, in bytes.
///
/// # Errors
///
/// Returns an error when the kernel's status file cannot be read.
pub fn resident_bytes() -> Result<u64> {
    let status = fs::read_to_string("/proc/self/status").context("reading memory status")?;
    let kib = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .and_then(|rest| rest.trim().split(' ').next())
        .and_then(|number| number.parse::<u64>().ok())
        .context("no VmRSS in the memory status")?;
    Ok(kib * KIB)
}

/// Returns the processor time that this thread has used.
///
/// # Errors
///
/// Returns an error when the kernel's scheduling statistics cannot be read.
pub fn thread_time() -> Result<Duration> {
    let text = fs::read_to_string("/proc/thread-self/schedstat").context("reading schedstat")?;
    let nanos = text
        .split_whitespace()
        .next()
        .and_then(|number| number.parse().ok())
        .context("no time in schedstat")?;
    Ok(Duration::from_nanos(nanos))
}

/// Sizes of the blocks that fill freed memory, in bytes, largest first.
const FILL_SIZES: [usize; 4] = [4_096, 512, 96, 24];

/// Growth of resident memory, in bytes, which indicates that the allocator has no freed blocks of a
/// size left and takes fresh memory.
const FILL_GROWTH: u64 = 512 * KIB;

/// Blocks allocated between two readings of resident memory.
const FILL_BLOCKS: usize = 64;

/// Allocates blocks until previously freed memory is used up, so that later allocations grow the
/// process. The caller keeps the returned blocks until those allocations are done.
///
/// # Errors
///
/// Returns the errors of [`resident_bytes`].
fn fill_freed_memory() -> Result<Vec<Vec<u8>>> {
    let mut blocks = Vec::new();
    for size in FILL_SIZES {
        let start = resident_bytes()?;
        while resident_bytes()? < start + FILL_GROWTH {
            blocks.extend((0..FILL_BLOCKS).map(|_| vec![1_u8; size]));
        }
    }
    Ok(blocks)
}

/// Calls `build` and returns its result with the growth of resident memory in bytes.
///
/// Previously freed memory is filled first, and the caller keeps the result until all points are
/// measured. Memory that `build` itself frees is included, so the figure is an upper bound.
///
/// # Errors
///
/// Returns the errors of [`resident_bytes`].
pub fn measure_growth<T, F>(build: F) -> Result<(T, u64)>
where
    F: FnOnce() -> T,
{
    let filler = fill_freed_memory()?;
    let before = resident_bytes()?;
    let state = build();
    let after = resident_bytes()?;
    drop(filler);
    Ok((state, after.saturating_sub(before)))
}
