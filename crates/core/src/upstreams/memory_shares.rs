//! Assignment of the memory of upstreams to the entries that share it.
//!
//! All entries compute the same assignment from the names of entries and upstreams. Each upstream is shared
//! by so few entries that several large requests fit into a share, and the shares are spread evenly over
//! the entries.

use crate::ids::Digest;

/// Numbers of entries that may share an upstream. With 24, a share still holds one of the largest usual
/// requests, of which 25 fill an upstream; with the others, a share is a multiple of that.
const SHARING_ENTRIES: [usize; 4] = [6, 8, 12, 24];
/// Number of upstreams at which each entry should hold a share, so that one that is down leaves it most of
/// its room.
const UPSTREAMS_PER_ENTRY: usize = 3;

/// Returns the number of entries that share each upstream.
pub(crate) fn sharing_entries(entries: usize, upstreams: usize) -> usize {
    let needed = (UPSTREAMS_PER_ENTRY * entries).div_ceil(upstreams.max(1));
    let steps = SHARING_ENTRIES.into_iter();
    let sharing = steps.clone().find(|it| *it >= needed).or(steps.max()).unwrap_or(1);
    sharing.min(entries).max(1)
}

/// Tells for each upstream whether an entry holds a share of it.
///
/// Pairs of entries and upstreams are assigned in the order of their hashes, which every entry computes from
/// the names alone.
pub(crate) fn held_by(own: &str, entries: &[String], upstreams: &[&str]) -> Vec<bool> {
    let sharing = sharing_entries(entries.len(), upstreams.len());
    if sharing >= entries.len() {
        return vec![true; upstreams.len()];
    }
    let entry_hashes: Vec<u64> = entries.iter().map(|it| hash(it)).collect();
    let upstream_hashes: Vec<u64> = upstreams.iter().map(|it| hash(it)).collect();
    let mut pairs = Vec::with_capacity(entries.len() * upstreams.len());
    for (entry, entry_hash) in entry_hashes.iter().enumerate() {
        for (upstream, upstream_hash) in upstream_hashes.iter().enumerate() {
            pairs.push((mix(entry_hash ^ upstream_hash.rotate_left(32)), entry, upstream));
        }
    }
    pairs.sort_unstable_by_key(|it| (it.0, entry_hashes[it.1], upstream_hashes[it.2]));
    let mut free = vec![sharing; upstreams.len()];
    let mut held = vec![0; entries.len()];
    let mut is_assigned = vec![false; pairs.len()];
    let mut is_held = vec![false; upstreams.len()];
    // In each round, every entry gets at most one more, so that none is left without a share.
    for max_held in 1..=upstreams.len() {
        if free.iter().all(|it| *it == 0) {
            break;
        }
        for (index, (_, entry, upstream)) in pairs.iter().enumerate() {
            if is_assigned[index] || free[*upstream] == 0 || held[*entry] >= max_held {
                continue;
            }
            is_assigned[index] = true;
            free[*upstream] -= 1;
            held[*entry] += 1;
            if entries[*entry] == own {
                is_held[*upstream] = true;
            }
        }
    }
    is_held
}

fn hash(name: &str) -> u64 {
    Digest::of(name.as_bytes()).prefix()
}

/// Mixes the bits of a number, with the finalizer of SplitMix64.
fn mix(number: u64) -> u64 {
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}
