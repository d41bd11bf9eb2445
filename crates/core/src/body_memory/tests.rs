use super::*;

const MB: usize = 1024 * 1024;
const TOTAL_BYTES: usize = 64 * MB;
const LARGE_BYTES: usize = 4 * MB;

/// Begins a body that holds all of its memory at once and of which nothing has arrived.
fn add(
    memory: &mut BodyMemory,
    customer: &str,
    bytes: usize,
    now_ms: u64,
) -> Result<BodyKey, BodyMemoryError> {
    let key = memory.begin(customer, now_ms);
    let held = memory.hold(key, bytes, now_ms).map(|_| key);
    if held.is_err() {
        memory.end(key);
    }
    held
}

/// Begins bodies until one is refused; returns those that were held.
fn fill(memory: &mut BodyMemory, customer: &str, bytes: usize, now_ms: u64) -> Vec<BodyKey> {
    std::iter::from_fn(|| add(memory, customer, bytes, now_ms).ok()).collect()
}

#[test]
fn the_total_is_never_exceeded() {
    let mut memory = BodyMemory::new(TOTAL_BYTES);
    for index in 0..500 {
        let customer = format!("c{}", index % 7);
        let key = memory.begin(&customer, index);
        let held = memory.hold(key, (index as usize % 9) * MB, index);
        assert!(memory.held_bytes() <= TOTAL_BYTES, "{held:?}");
    }
}

#[test]
fn a_crowd_of_stalled_bodies_makes_room_for_a_large_one() {
    let mut memory = BodyMemory::new(TOTAL_BYTES);
    let crowd = fill(&mut memory, "a", LARGE_BYTES, 0);
    assert_eq!(add(&mut memory, "a", LARGE_BYTES, 100), Err(BodyMemoryError::Exhausted));
    let key = add(&mut memory, "a", LARGE_BYTES, STALL_MS).unwrap();
    assert_eq!(memory.complete(key), Ok(()));
    let evicted = crowd.iter().filter(|it| memory.complete(**it).is_err()).count();
    assert_eq!(evicted, 1);
}

#[test]
fn bodies_that_arrive_are_not_evicted_for_their_own_customer() {
    let mut memory = BodyMemory::new(TOTAL_BYTES);
    let crowd = fill(&mut memory, "a", LARGE_BYTES, 0);
    for key in &crowd {
        memory.record_received(*key, LARGE_BYTES / 2, 900);
    }
    assert_eq!(add(&mut memory, "a", LARGE_BYTES, 1_000), Err(BodyMemoryError::Exhausted));
}

#[test]
fn a_body_that_trickles_is_evicted() {
    let mut memory = BodyMemory::new(TOTAL_BYTES);
    let crowd = fill(&mut memory, "a", LARGE_BYTES, 0);
    for now_ms in (0..3_000).step_by(100) {
        for key in &crowd {
            memory.record_received(*key, now_ms as usize, now_ms);
        }
    }
    assert!(add(&mut memory, "a", LARGE_BYTES, 3_000).is_ok());
}

#[test]
fn one_customer_leaves_room_for_others() {
    let mut memory = BodyMemory::new(TOTAL_BYTES);
    for key in fill(&mut memory, "a", LARGE_BYTES, 0) {
        memory.complete(key).unwrap();
    }
    assert!(add(&mut memory, "b", LARGE_BYTES, 0).is_ok());
    assert!(add(&mut memory, "c", LARGE_BYTES, 0).is_ok());
}

#[test]
fn the_customer_that_holds_the_most_makes_room_for_another() {
    let mut memory = BodyMemory::new(TOTAL_BYTES);
    let crowd = fill(&mut memory, "a", LARGE_BYTES, 0);
    let others: Vec<BodyKey> =
        (0..4).map(|_| add(&mut memory, "b", LARGE_BYTES, 0).unwrap()).collect();
    assert!(add(&mut memory, "c", LARGE_BYTES, 0).is_ok());
    let evicted = crowd.iter().filter(|it| memory.complete(**it).is_err()).count();
    assert_eq!(evicted, 1);
    assert!(others.iter().all(|it| memory.complete(*it).is_ok()));
}

#[test]
fn small_bodies_find_room_beside_large_ones() {
    let mut memory = BodyMemory::new(TOTAL_BYTES);
    for customer in ["a", "b", "c"] {
        for key in fill(&mut memory, customer, LARGE_BYTES, 0) {
            memory.complete(key).unwrap();
        }
    }
    let small = (0..400).map(|_| add(&mut memory, "a", SMALL_BYTES, 0));
    assert!(small.collect::<Vec<_>>().iter().all(Result::is_ok));
}

#[test]
fn a_single_body_is_held_whatever_its_size() {
    let mut memory = BodyMemory::new(TOTAL_BYTES);
    let key = add(&mut memory, "a", 2 * TOTAL_BYTES, 0).unwrap();
    assert_eq!(add(&mut memory, "b", LARGE_BYTES, 0), Err(BodyMemoryError::Exhausted));
    memory.end(key);
    assert_eq!(memory.held_bytes(), 0);
    assert!(add(&mut memory, "b", LARGE_BYTES, 0).is_ok());
}

#[test]
fn an_evicted_body_can_neither_grow_nor_be_completed() {
    let mut memory = BodyMemory::new(TOTAL_BYTES);
    let key = add(&mut memory, "a", LARGE_BYTES, 0).unwrap();
    assert_eq!(memory.evict_stalled(100), None);
    assert_eq!(memory.evict_stalled(STALL_MS), Some(key));
    assert_eq!(memory.hold(key, 2 * LARGE_BYTES, 500), Err(BodyMemoryError::Evicted));
    assert_eq!(memory.complete(key), Err(BodyMemoryError::Evicted));
    memory.end(key);
    assert_eq!(memory.held_bytes(), 0);
}

/// Many callers that begin large bodies and send only a part, beside one that sends a whole one now and
/// then: the memory is bounded, and nearly all of the whole ones are taken.
#[test]
fn whole_bodies_are_taken_beside_a_crowd_that_never_finishes() {
    let mut memory = BodyMemory::new(TOTAL_BYTES);
    let mut arriving = Vec::new();
    let (mut taken, mut offered) = (0, 0);
    for now_ms in (0..20_000).step_by(10) {
        // Sends nothing after the first byte.
        if let Ok(key) = add(&mut memory, "crowd", LARGE_BYTES, now_ms) {
            memory.record_received(key, 1, now_ms);
        }
        if now_ms % 200 == 0 {
            offered += 1;
            arriving
                .extend(add(&mut memory, "ordinary", LARGE_BYTES, now_ms).map(|it| (it, now_ms)));
        }
        for (key, begun_ms) in &arriving {
            memory.record_received(*key, 100_000 * (now_ms - begun_ms) as usize / 10, now_ms);
        }
        arriving.retain(|(key, begun_ms)| {
            if now_ms - begun_ms < 50 {
                return true;
            }
            taken += usize::from(memory.complete(*key).is_ok());
            memory.end(*key);
            false
        });
        assert!(memory.held_bytes() <= TOTAL_BYTES);
    }
    assert_eq!(taken, offered, "of the ordinary caller's bodies");
}
