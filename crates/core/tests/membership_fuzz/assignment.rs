//! Properties of the subsetting of upstreams and the selection of gossip peers.

use proptest::{
    collection::{btree_set, vec},
    prelude::*,
    sample::Index,
};
use yuccatrail_core::membership::{SubsetSizes, gossip_peers, subset};

use crate::harness::config;

fn names(prefix: &'static str, end: usize) -> impl Strategy<Value = Vec<String>> {
    let numbers = btree_set(any::<u16>(), 1..end);
    numbers.prop_map(move |it| it.iter().map(|number| format!("{prefix}-{number}")).collect())
}

fn as_strs(names: &[String]) -> Vec<&str> {
    names.iter().map(String::as_str).collect()
}

/// Upper bound on the number of upstreams that one entry gets through `entries_per_upstream`.
fn max_extra_upstreams(upstreams: usize, entries: usize, entries_per_upstream: usize) -> f64 {
    let mean = (upstreams * entries_per_upstream.min(entries)) as f64 / entries as f64;
    mean + 5.0 * mean.sqrt() + 5.0
}

proptest! {
    #![proptest_config(config(5, 150))]

    #[test]
    fn subsets_cover_every_upstream_and_have_bounded_size(
        entries in names("entry", 24),
        upstreams in names("engine", 120),
        upstreams_per_entry in 1..16_usize,
        entries_per_upstream in 1..4_usize,
    ) {
        let (entries, upstreams) = (as_strs(&entries), as_strs(&upstreams));
        let sizes = SubsetSizes { upstreams_per_entry, entries_per_upstream };
        let mut entry_counts = vec![0; upstreams.len()];
        let max_extra = max_extra_upstreams(upstreams.len(), entries.len(), entries_per_upstream);
        for own_entry in &entries {
            let chosen = subset(&entries, &upstreams, own_entry, sizes);
            prop_assert!(chosen.len() >= upstreams_per_entry.min(upstreams.len()));
            prop_assert!(chosen.len() as f64 <= upstreams_per_entry as f64 + max_extra);
            for index in chosen {
                entry_counts[index] += 1;
            }
        }
        prop_assert!(entry_counts.iter().all(|it| *it >= entries_per_upstream.min(entries.len())));
    }

    #[test]
    fn leaving_entry_changes_the_assignment_of_its_own_upstreams_only(
        entries in names("entry", 24),
        upstreams in names("engine", 120),
        leaving in any::<Index>(),
    ) {
        let upstreams = as_strs(&upstreams);
        let before = as_strs(&entries);
        let leaving = before[leaving.index(before.len())];
        let after: Vec<&str> = before.iter().copied().filter(|it| *it != leaving).collect();
        let sizes = SubsetSizes { upstreams_per_entry: 6, entries_per_upstream: 2 };
        let released = subset(&before, &upstreams, leaving, sizes);
        let mut gained = 0;
        for own_entry in &after {
            let old = subset(&before, &upstreams, own_entry, sizes);
            let new = subset(&after, &upstreams, own_entry, sizes);
            prop_assert!(old.iter().all(|it| new.contains(it)), "an entry lost an upstream");
            for index in new.iter().filter(|it| !old.contains(it)) {
                prop_assert!(released.contains(index), "an unrelated upstream was reassigned");
                gained += 1;
            }
        }
        prop_assert!(gained <= released.len());
    }

    #[test]
    fn subset_does_not_depend_on_the_order_of_its_inputs(
        entries in names("entry", 12),
        upstreams in names("engine", 60),
    ) {
        let (mut entries, mut upstreams) = (as_strs(&entries), as_strs(&upstreams));
        let sizes = SubsetSizes { upstreams_per_entry: 5, entries_per_upstream: 2 };
        let own_entry = entries[0];
        let chosen = subset(&entries, &upstreams, own_entry, sizes);
        let mut expected: Vec<&str> = chosen.iter().map(|it| upstreams[*it]).collect();
        entries.reverse();
        upstreams.reverse();
        let chosen = subset(&entries, &upstreams, own_entry, sizes);
        let mut found: Vec<&str> = chosen.iter().map(|it| upstreams[*it]).collect();
        expected.sort_unstable();
        found.sort_unstable();
        prop_assert_eq!(found, expected);
    }

    #[test]
    fn gossip_selects_distinct_local_and_remote_peers(
        indices in vec(0..3_usize, 0..20),
        random in vec(any::<u64>(), 0..6),
    ) {
        let data_centres: Vec<&str> =
            indices.iter().map(|it| ["east", "west", "north"][*it]).collect();
        let peers = gossip_peers(&data_centres, "east", 4, &random);
        prop_assert_eq!(peers.len(), random.len().min(4).min(data_centres.len()));
        let mut distinct = peers.clone();
        distinct.sort_unstable();
        distinct.dedup();
        prop_assert_eq!(distinct.len(), peers.len());
        let is_local = |it: &usize| data_centres[*it] == "east";
        let has_local = (0..data_centres.len()).any(|it| is_local(&it));
        let has_remote = (0..data_centres.len()).any(|it| !is_local(&it));
        if peers.len() >= 2 {
            prop_assert_eq!(peers.iter().any(is_local), has_local);
            prop_assert_eq!(peers.iter().any(|it| !is_local(it)), has_remote);
        }
    }
}
