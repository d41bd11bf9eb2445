use crate::ownership::{Candidate, owner};

fn candidates(shares: &[f64]) -> Vec<Candidate> {
    let name = |index: usize| format!("entry-{index}");
    shares
        .iter()
        .enumerate()
        .map(|(index, share)| Candidate { name: name(index), cpu_share: *share })
        .collect()
}

#[test]
fn all_entries_choose_the_same_owner_whatever_the_order() {
    let mut all = candidates(&[0.2, 0.2, 0.2, 0.2]);
    let first = owner("work", &all).unwrap().clone();
    all.reverse();
    assert_eq!(owner("work", &all), Some(&first));
    assert_eq!(owner("work", &[]), None);
}

#[test]
fn only_the_work_of_a_lost_entry_moves() {
    let all = candidates(&[0.2; 5]);
    let lost = all[2].clone();
    let rest: Vec<Candidate> = all.iter().filter(|it| **it != lost).cloned().collect();
    for index in 0..100 {
        let subject = format!("work-{index}");
        let before = owner(&subject, &all).unwrap();
        let after = owner(&subject, &rest).unwrap();
        assert!(*before == lost || before == after);
    }
}

#[test]
fn weak_entries_own_nothing_beside_strong_ones() {
    let all = candidates(&[0.09, 0.5, 0.09, 0.4]);
    for index in 0..100 {
        assert!(owner(&format!("work-{index}"), &all).unwrap().cpu_share >= 0.25);
    }
}
