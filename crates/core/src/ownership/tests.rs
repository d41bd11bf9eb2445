use std::sync::Arc;

use proptest::{prelude::*, test_runner::RngSeed};

use crate::{
    FastMap, FastSet,
    ownership::{Candidate, EntryView, OwnState, PeerState, ranked},
};

const READY: OwnState = OwnState { takes_work: true, follows_platform: true };
const REJECTED: OwnState = OwnState { takes_work: true, follows_platform: false };
const ALIVE: PeerState = PeerState::Alive { takes_work: true, follows_platform: true };

fn candidates(shares: &[f64]) -> Vec<Candidate> {
    let name = |index: usize| format!("entry-{index}");
    shares
        .iter()
        .enumerate()
        .map(|(index, share)| Candidate {
            name: name(index),
            cpu_share: *share,
            data_centre: format!("dc-{}", index % 5).into(),
        })
        .collect()
}

fn subjects() -> Vec<Arc<str>> {
    ["tagging", "billing", "scheduling"].map(Arc::from).to_vec()
}

/// Returns the views of all entries, where no entry has polled another.
fn views(all: &[Candidate]) -> Vec<EntryView> {
    let mut views: Vec<EntryView> = all.iter().cloned().map(EntryView::new).collect();
    for view in &mut views {
        for other in all {
            view.add(other.clone());
        }
    }
    views
}

/// Lets every entry poll until nothing changes; `answers` holds the state of each entry, as polled.
fn settle(views: &mut [EntryView], own: OwnState, answers: &FastMap<String, PeerState>) {
    for view in views {
        for _ in 0..answers.len() {
            for name in view.peers_to_poll(&subjects(), own) {
                view.set_state(&name, answers.get(&name).copied().unwrap_or(PeerState::Lost));
            }
        }
    }
}

fn all_alive(all: &[Candidate]) -> FastMap<String, PeerState> {
    all.iter().map(|it| (it.name.clone(), ALIVE)).collect()
}

#[test]
fn the_order_does_not_depend_on_the_order_of_the_list() {
    let mut all = candidates(&[0.2, 0.2, 0.2, 0.2]);
    let order = ranked("work", all.clone());
    all.reverse();
    assert_eq!(ranked("work", all), order);
}

#[test]
fn only_the_work_of_a_lost_entry_moves() {
    let all = candidates(&[0.2; 5]);
    let lost = all[2].clone();
    let rest: Vec<Candidate> = all.iter().filter(|it| **it != lost).cloned().collect();
    for index in 0..100 {
        let subject = format!("work-{index}");
        let before = ranked(&subject, all.clone()).remove(0);
        let after = ranked(&subject, rest.clone()).remove(0);
        assert!(before == lost || before == after);
    }
}

#[test]
fn weak_entries_rank_after_all_strong_ones() {
    let all = candidates(&[0.09, 0.5, 0.09, 0.4]);
    for index in 0..100 {
        let order = ranked(&format!("work-{index}"), all.clone());
        assert!(order[..2].iter().all(|it| it.cpu_share >= 0.25));
    }
}

#[test]
fn a_single_entry_owns_all_work() {
    let mut view = EntryView::new(candidates(&[0.2]).remove(0));
    assert_eq!(view.owner("work", READY), None);
    assert!(view.peers_to_poll(&subjects(), READY).is_empty());
}

#[test]
fn the_number_of_polled_entries_is_bounded_for_any_number_of_entries() {
    for number in [3, 30, 100, 300] {
        let all = candidates(&vec![0.2; number]);
        let mut views = views(&all);
        settle(&mut views, READY, &all_alive(&all));
        let mut polled_by: FastMap<String, usize> = FastMap::default();
        for view in &mut views {
            let polled = view.peers_to_poll(&subjects(), READY);
            // Two for each service, two neighbours, and up to four readers of the data centre.
            assert!(polled.len() <= 12, "{number} entries: {}", polled.len());
            for name in polled {
                *polled_by.entry(name).or_default() += 1;
            }
        }
        assert!(all.iter().all(|it| polled_by.get(&it.name) >= Some(&2)), "{number} entries");
    }
}

#[test]
fn the_next_entry_in_order_owns_the_work_as_soon_as_the_owner_is_lost() {
    let all = candidates(&[0.2; 30]);
    let mut views = views(&all);
    settle(&mut views, READY, &all_alive(&all));
    for subject in subjects() {
        let order = ranked(&subject, all.clone());
        for view in &mut views {
            if view.owner(&subject, READY).is_none() {
                continue;
            }
            view.set_state(&order[0].name, PeerState::Lost);
            let next = view.owner(&subject, READY).map(str::to_owned);
            assert!(next.is_none_or(|it| it == order[1].name));
            view.set_state(&order[0].name, ALIVE);
        }
    }
}

#[test]
fn entries_agree_on_an_owner_while_all_of_them_shut_down() {
    let stopping = OwnState { takes_work: false, follows_platform: true };
    let all = candidates(&[0.2; 3]);
    let state = PeerState::Alive { takes_work: false, follows_platform: true };
    let answers = all.iter().map(|it| (it.name.clone(), state)).collect();
    let mut views = views(&all);
    settle(&mut views, stopping, &answers);
    for subject in subjects() {
        let first = &ranked(&subject, all.clone())[0].name;
        for (view, own) in views.iter_mut().zip(&all) {
            assert_eq!(view.owner(&subject, stopping).unwrap_or(&own.name), first);
        }
    }
}

#[test]
fn an_entry_that_the_platform_rejects_polls_on_until_one_follows_the_platform() {
    let all = candidates(&[0.2; 30]);
    let rejected = PeerState::Alive { takes_work: true, follows_platform: false };
    let mut answers = all_alive(&all);
    for entry in &all[..20] {
        answers.insert(entry.name.clone(), rejected);
    }
    let mut views = views(&all);
    settle(&mut views, REJECTED, &answers);
    for view in &mut views[..20] {
        let polled = view.peers_to_poll(&subjects(), REJECTED);
        assert!(polled.iter().any(|it| answers[it] == ALIVE));
        assert!(polled.len() <= 18);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        rng_seed: RngSeed::Fixed(7_606),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Whichever entries are lost, the others agree on the owners once their polls have shown it, and
    /// an update that reaches any of them spreads to all of them.
    #[test]
    fn live_entries_agree_on_owners_and_stay_connected(
        number in 2_usize..40,
        lost in prop::collection::vec(any::<prop::sample::Index>(), 0..30),
        shares in prop::collection::vec(0.05_f64..0.5, 40),
    ) {
        let all = candidates(&shares[..number]);
        let mut answers = all_alive(&all);
        for index in &lost {
            let name = &all[index.index(number)].name;
            answers.insert(name.clone(), PeerState::Lost);
        }
        let mut views = views(&all);
        settle(&mut views, READY, &answers);
        let alive: Vec<usize> =
            (0..number).filter(|it| answers[&all[*it].name] == ALIVE).collect();
        for subject in subjects() {
            let owners: FastSet<String> = alive
                .iter()
                .map(|it| {
                    let own_name = &all[*it].name;
                    views[*it].owner(&subject, READY).unwrap_or(own_name).to_owned()
                })
                .collect();
            prop_assert!(owners.len() <= 1, "{owners:?}");
            prop_assert!(owners.iter().all(|it| answers[it] == ALIVE));
        }
        // Updates pass from a polled entry to the one that polls it.
        let Some(first) = alive.first() else { return Ok(()) };
        let mut updated: FastSet<String> = FastSet::from_iter([all[*first].name.clone()]);
        for _ in 0..number {
            for it in &alive {
                let polled = views[*it].peers_to_poll(&subjects(), READY);
                if polled.iter().any(|name| updated.contains(name)) {
                    updated.insert(all[*it].name.clone());
                }
            }
        }
        prop_assert_eq!(updated.len(), alive.len());
    }
}

/// Returns how many entries read the platform, and checks that the others have a source that does.
fn count_readers(views: &mut [EntryView], all: &[Candidate], own: OwnState) -> usize {
    let plans: Vec<_> = views.iter_mut().map(|it| it.reader_plan(own)).collect();
    let reads: FastSet<&String> =
        all.iter().zip(&plans).filter(|(_, plan)| plan.is_reader).map(|(it, _)| &it.name).collect();
    for plan in plans.iter().filter(|it| !it.is_reader) {
        assert!(plan.sources.iter().any(|it| reads.contains(it)), "{:?}", plan.sources);
    }
    reads.len()
}

#[test]
fn a_few_entries_of_each_data_centre_read_the_platform() {
    for (number, expected) in [(3, 3), (30, 10), (100, 10), (300, 20)] {
        let all = candidates(&vec![0.2; number]);
        let mut views = views(&all);
        settle(&mut views, READY, &all_alive(&all));
        assert_eq!(count_readers(&mut views, &all, READY), expected, "{number} entries");
    }
}

#[test]
fn a_reader_that_is_lost_or_rejected_is_replaced_by_one_other_entry() {
    let all = candidates(&[0.2; 100]);
    let rejected = PeerState::Alive { takes_work: true, follows_platform: false };
    for state in [PeerState::Lost, rejected] {
        let mut views = views(&all);
        settle(&mut views, READY, &all_alive(&all));
        let reader = views.iter_mut().position(|it| it.reader_plan(READY).is_reader).unwrap();
        let mut answers = all_alive(&all);
        answers.insert(all[reader].name.clone(), state);
        settle(&mut views, READY, &answers);
        views.remove(reader);
        let mut others = all.clone();
        others.remove(reader);
        assert_eq!(count_readers(&mut views, &others, READY), 10);
    }
}

#[test]
fn while_the_platform_is_away_the_number_of_readers_stays_bounded() {
    let all = candidates(&[0.2; 300]);
    let rejected = PeerState::Alive { takes_work: true, follows_platform: false };
    let answers = all.iter().map(|it| (it.name.clone(), rejected)).collect();
    let mut views = views(&all);
    settle(&mut views, REJECTED, &answers);
    let readers =
        views.iter_mut().filter_map(|it| it.reader_plan(REJECTED).is_reader.then_some(()));
    assert_eq!(readers.count(), 30);
}
