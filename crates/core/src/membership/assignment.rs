//! Subsetting of upstreams among entries, and selection of gossip peers.

use crate::{FastSet, ids::Digest};

/// Minimum sizes of the subsets computed by [`subset`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SubsetSizes {
    /// Minimum number of upstreams per entry in each pool, if the pool has that many.
    pub upstreams_per_entry: usize,
    /// Minimum number of entries per upstream, if there are that many.
    pub entries_per_upstream: usize,
}

/// Returns the indices, in ascending order, of the upstreams of one pool assigned to `own_entry`.
///
/// An entry gets the `upstreams_per_entry` upstreams with the highest scores for it, and every
/// upstream for which it is among the `entries_per_upstream` entries with the highest scores.
/// Scores depend on the two names alone (rendezvous hashing). Hence an entry that joins or leaves
/// changes the assignment of its own upstreams only, and all entries compute the same assignment
/// without communication.
pub fn subset(
    entries: &[&str],
    upstreams: &[&str],
    own_entry: &str,
    sizes: SubsetSizes,
) -> Vec<usize> {
    let own_hash = hash_name(own_entry);
    let upstream_hashes: Vec<u64> = upstreams.iter().map(|it| hash_name(it)).collect();
    let other_hashes: FastSet<u64> =
        entries.iter().map(|it| hash_name(it)).filter(|it| *it != own_hash).collect();
    let mut scored = Vec::new();
    let mut chosen = FastSet::default();
    for (index, upstream_hash) in upstream_hashes.iter().enumerate() {
        let own_score = pair_score(own_hash, *upstream_hash);
        scored.push((own_score, *upstream_hash, index));
        let own_rank = (own_score, own_hash);
        let better_entries =
            other_hashes.iter().filter(|it| (pair_score(**it, *upstream_hash), **it) > own_rank);
        if better_entries.take(sizes.entries_per_upstream).count() < sizes.entries_per_upstream {
            chosen.insert(index);
        }
    }
    scored.sort_unstable();
    for (_, _, index) in scored.iter().rev().take(sizes.upstreams_per_entry) {
        chosen.insert(*index);
    }
    let mut indices: Vec<usize> = chosen.into_iter().collect();
    indices.sort_unstable();
    indices
}

/// Selects up to `count` peers for one gossip round and returns their indices.
///
/// `data_centres` holds the data centre of each peer. Peers in the own and in other data centres
/// are selected alternately, so that updates cross data centres in every round with at least two
/// peers. Each selected peer takes one of the numbers in `random`, which the caller draws.
pub fn gossip_peers(
    data_centres: &[&str],
    own_data_centre: &str,
    count: usize,
    random: &[u64],
) -> Vec<usize> {
    let mut local = Vec::new();
    let mut remote = Vec::new();
    for (index, data_centre) in data_centres.iter().enumerate() {
        match *data_centre == own_data_centre {
            true => local.push(index),
            false => remote.push(index),
        }
    }
    let mut selected = Vec::new();
    for (position, number) in random.iter().take(count).enumerate() {
        let prefers_local = position % 2 == 0;
        let group = match prefers_local && !local.is_empty() || remote.is_empty() {
            true => &mut local,
            false => &mut remote,
        };
        if group.is_empty() {
            break;
        }
        let index = (number % group.len() as u64) as usize;
        selected.push(group.swap_remove(index));
    }
    selected
}

/// Returns a uniformly distributed hash of a name that is the same in every process.
fn hash_name(name: &str) -> u64 {
    let Digest(bytes) = Digest::of(name.as_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&bytes[..8]);
    u64::from_be_bytes(first)
}

/// Returns the score of an entry and an upstream, mixed by the finalizer of SplitMix64.
fn pair_score(entry: u64, upstream: u64) -> u64 {
    let mut mixed = entry ^ upstream.rotate_left(32);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
