//! Choice of the upstreams of a new version that receive requests first.

use std::{cmp::Reverse, sync::Arc};

use crate::{
    FastSet,
    rollout::{NewUpstream, RolloutOrder, RolloutUpstreams},
    upstreams::rendezvous_weight,
};

/// Upstreams in the canary at least, so that a sick one can be told from a bad version.
const MIN_CANARY: usize = 2;

/// Chooses warm upstreams for `share` of the requests by rendezvous hashing, so that all deciders choose
/// alike; those in `replaced` only if there are no others.
pub(crate) fn choose_canary<'a>(
    order: &RolloutOrder,
    upstreams: &'a RolloutUpstreams,
    share: f64,
    replaced: &FastSet<Arc<str>>,
) -> Vec<&'a NewUpstream> {
    let wanted = ((share * upstreams.new.len() as f64).ceil() as usize).max(MIN_CANARY);
    let subject = format!("rollout/{}/{}", order.service, order.to);
    let mut warm: Vec<_> = upstreams.new.iter().filter(|it| it.is_warm).collect();
    warm.sort_by_key(|it| {
        let is_replaced = replaced.contains(&it.id);
        (is_replaced, Reverse(rendezvous_weight(&it.id, &subject)), it.id.clone())
    });
    warm.truncate(wanted);
    warm
}

/// Returns the slots of the warm upstreams of the new version.
pub(crate) fn warm_slots(upstreams: &RolloutUpstreams) -> u32 {
    upstreams.new.iter().filter(|it| it.is_warm).map(|it| it.slots).sum()
}
