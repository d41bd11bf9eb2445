//! Properties of the assignment of upstreams to entries and of peers to rounds.

use proptest::{
    collection::{btree_set, vec},
    prelude::*,
    sample::Index,
};
use yuccatrail_core::membership::{SubsetSizes, gossip_peers, subset};

use crate::harness::config;

fn names(prefix: &'static str, most: usize) -> impl Strategy<Value = Vec<String>> {
    let numbers = btree_set(any::<u16>(), 1..most);
    numbers.prop_map(move |it| it.iter().map(|number| format!("{prefix}-{number}")).collect())
}

fn as_strs(names: &[String]) -> Vec<&str> {
    names.iter().map(String::as_str).collect()
}

/// Largest number of upstreams that the coverage may give to one entry.
fn coverage_bound(upstreams: usize, entries: usize, entries_per_upstream: usize) -> f64 {
    let mean = (upstreams * entries_per_upstream.min(entries)) as f64 / entries as f64;
    mean + 5.0 * mean.sqrt() + 5.0
}

proptest! {
    #![proptest_config(config(5, 150))]

    #[test]
    fn every_upstream_is_covered_and_every_subset_is_bounded(
        entries in names("entry", 24),
        upstreams in names("engine", 120),
        upstreams_per_entry in 1..16_usize,
        entries_per_upstream in 1..4_usize,
    ) {
        let (entries, upstreams) = (as_strs(&entries), as_strs(&upstreams));
        let sizes = SubsetSizes { upstreams_per_entry, entries_per_upstream };
        let mut covering = vec![0; upstreams.len()];
        let bound = coverage_bound(upstreams.len(), entries.len(), entries_per_upstream);
        for own in &entries {
            let chosen = subset(&entries, &upstreams, own, sizes);
            prop_assert!(chosen.len() >= upstreams_per_entry.min(upstreams.len()));
            prop_assert!(chosen.len() as f64 <= upstreams_per_entry as f64 + bound);
            for index in chosen {
                covering[index] += 1;
            }
        }
        prop_assert!(covering.iter().all(|it| *it >= entries_per_upstream.min(entries.len())));
    }

    #[test]
    fn a_leaving_entry_hands_over_its_own_upstreams_and_moves_no_other(
        entries in names("entry", 24),
        upstreams in names("engine", 120),
        leaving in any::<Index>(),
    ) {
        let upstreams = as_strs(&upstreams);
        let before = as_strs(&entries);
        let leaving = before[leaving.index(before.len())];
        let after: Vec<&str> = before.iter().copied().filter(|it| *it != leaving).collect();
        let sizes = SubsetSizes { upstreams_per_entry: 6, entries_per_upstream: 2 };
        let handed_over = subset(&before, &upstreams, leaving, sizes);
        let mut gained = 0;
        for own in &after {
            let old = subset(&before, &upstreams, own, sizes);
            let new = subset(&after, &upstreams, own, sizes);
            prop_assert!(old.iter().all(|it| new.contains(it)), "an upstream is moved needlessly");
            for index in new.iter().filter(|it| !old.contains(it)) {
                prop_assert!(handed_over.contains(index), "an upstream of another entry is moved");
                gained += 1;
            }
        }
        prop_assert!(gained <= handed_over.len());
    }

    #[test]
    fn a_subset_does_not_depend_on_the_order_of_the_lists(
        entries in names("entry", 12),
        upstreams in names("engine", 60),
    ) {
        let (mut entries, mut upstreams) = (as_strs(&entries), as_strs(&upstreams));
        let sizes = SubsetSizes { upstreams_per_entry: 5, entries_per_upstream: 2 };
        let own = entries[0];
        let chosen = subset(&entries, &upstreams, own, sizes);
        let mut expected: Vec<&str> = chosen.iter().map(|it| upstreams[*it]).collect();
        entries.reverse();
        upstreams.reverse();
        let chosen = subset(&entries, &upstreams, own, sizes);
        let mut found: Vec<&str> = chosen.iter().map(|it| upstreams[*it]).collect();
        expected.sort_unstable();
        found.sort_unstable();
        prop_assert_eq!(found, expected);
    }

    #[test]
    fn gossip_selects_different_peers_near_and_far(
        centres in vec(0..3_usize, 0..20),
        random in vec(any::<u64>(), 0..6),
    ) {
        let data_centres: Vec<&str> = centres.iter().map(|it| ["east", "west", "north"][*it]).collect();
        let peers = gossip_peers(&data_centres, "east", 4, &random);
        prop_assert_eq!(peers.len(), random.len().min(4).min(data_centres.len()));
        let mut distinct = peers.clone();
        distinct.sort_unstable();
        distinct.dedup();
        prop_assert_eq!(distinct.len(), peers.len());
        let is_near = |it: &usize| data_centres[*it] == "east";
        let has_near = (0..data_centres.len()).any(|it| is_near(&it));
        let has_far = (0..data_centres.len()).any(|it| !is_near(&it));
        if peers.len() >= 2 {
            prop_assert_eq!(peers.iter().any(is_near), has_near);
            prop_assert_eq!(peers.iter().any(|it| !is_near(it)), has_far);
        }
    }
}
