//! Assignment of upstreams to entries and of peers to rounds of exchange.

use crate::{FastSet, ids::Digest};

/// Sizes that rule an assignment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SubsetSizes {
    /// Number of upstreams of a pool that every entry gets, as far as there are that many.
    pub upstreams_per_entry: usize,
    /// Number of entries that every upstream gets at least, as far as there are that many.
    pub entries_per_upstream: usize,
}

/// Assigns upstreams of one pool to the entry `own` and returns their indices in order.
///
/// An entry gets the `size` upstreams with the highest scores for it, and each upstream that counts
/// it among its `coverage` best entries. Scores depend on the two names alone (rendezvous hashing),
/// so an entry that joins or leaves moves only the upstreams that are among its own: nothing else
/// changes at the others. All entries compute the same assignment without an exchange.
pub fn subset(entries: &[&str], upstreams: &[&str], own: &str, sizes: SubsetSizes) -> Vec<usize> {
    let own_hash = hash(own);
    let upstream_hashes: Vec<u64> = upstreams.iter().map(|it| hash(it)).collect();
    let other_hashes: FastSet<u64> =
        entries.iter().map(|it| hash(it)).filter(|it| *it != own_hash).collect();
    let mut ranked = Vec::new();
    let mut chosen = FastSet::default();
    for (index, upstream_hash) in upstream_hashes.iter().enumerate() {
        let own_score = score(own_hash, *upstream_hash);
        ranked.push((own_score, *upstream_hash, index));
        let own_rank = (own_score, own_hash);
        let better =
            other_hashes.iter().filter(|it| (score(**it, *upstream_hash), **it) > own_rank);
        if better.take(sizes.entries_per_upstream).count() < sizes.entries_per_upstream {
            chosen.insert(index);
        }
    }
    ranked.sort_unstable();
    for (_, _, index) in ranked.iter().rev().take(sizes.upstreams_per_entry) {
        chosen.insert(*index);
    }
    let mut indices: Vec<usize> = chosen.into_iter().collect();
    indices.sort_unstable();
    indices
}

/// Selects up to `count` of the peers for one round of exchange and returns their indices.
///
/// `data_centres` names the data centre of each peer. Peers in the own data centre and elsewhere
/// take turns, so that news crosses data centres in every round with at least two peers. Each
/// selected peer takes one number of `random`, which the caller draws.
pub fn gossip_peers(
    data_centres: &[&str],
    own_data_centre: &str,
    count: usize,
    random: &[u64],
) -> Vec<usize> {
    let mut near = Vec::new();
    let mut far = Vec::new();
    for (index, data_centre) in data_centres.iter().enumerate() {
        match *data_centre == own_data_centre {
            true => near.push(index),
            false => far.push(index),
        }
    }
    let mut selected = Vec::new();
    for (turn, number) in random.iter().take(count).enumerate() {
        let is_near_preferred = turn % 2 == 0;
        let group = match is_near_preferred && !near.is_empty() || far.is_empty() {
            true => &mut near,
            false => &mut far,
        };
        if group.is_empty() {
            break;
        }
        let position = (number % group.len() as u64) as usize;
        selected.push(group.swap_remove(position));
    }
    selected
}

/// Computes a well-mixed hash of a name that is the same in every process.
fn hash(name: &str) -> u64 {
    let Digest(bytes) = Digest::of(name.as_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&bytes[..8]);
    u64::from_be_bytes(first)
}

/// Computes the score of a pair by the finalizer of SplitMix64.
fn score(entry: u64, upstream: u64) -> u64 {
    let mut mixed = entry ^ upstream.rotate_left(32);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
