//! Desired state of a pool and the orders that lead to it.

use serde::{Deserialize, Serialize};

use super::FencingNumber;

/// What a model engine does within its pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Processes prompts and generates.
    #[default]
    Mixed,
    /// Processes prompts and exports their KV cache.
    Prefill,
    /// Imports KV caches and generates.
    Decode,
}

/// Number of upstreams in each role; all others are [`Role::Mixed`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoleCounts {
    /// Upstreams that process prompts.
    pub prefill: u32,
    /// Upstreams that generate.
    pub decode: u32,
}

/// Desired state of a pool, written by the holder of the lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DesiredPool {
    /// Name of the pool.
    pub pool: String,
    /// Fencing number under which the state was written.
    pub fence: FencingNumber,
    /// Model that every upstream loads.
    pub model: String,
    /// Version of the model.
    pub model_version: String,
    /// Adapters that every upstream loads on top of the model.
    pub adapters: Vec<String>,
    /// Number of upstreams in each role.
    pub roles: RoleCounts,
    /// Upstreams that load a model at the same time at most, since weights are rate-limited and an
    /// upstream that loads is out of service.
    pub max_loading: u32,
}

/// What an upstream reports about itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObservedUpstream {
    /// Name of the upstream.
    pub name: String,
    /// Model that is loaded or loading, if any.
    pub model: Option<String>,
    /// Version of that model.
    pub model_version: Option<String>,
    /// Whether the model is still loading.
    pub is_loading: bool,
    /// Adapters that are loaded.
    pub adapters: Vec<String>,
    /// Role in which the upstream works.
    pub role: Role,
}

/// An order to an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Name of the upstream.
    pub upstream: String,
    /// Fencing number that the order carries.
    pub fence: FencingNumber,
    /// What the upstream is to do.
    pub action: OrderAction,
}

/// What an upstream is ordered to do; doing it twice equals doing it once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderAction {
    /// Load a model in place of the one that is loaded, which drops its adapters.
    LoadModel {
        /// Name of the model.
        model: String,
        /// Version of the model.
        version: String,
    },
    /// Load an adapter.
    LoadAdapter {
        /// Name of the adapter.
        adapter: String,
    },
    /// Drop an adapter.
    UnloadAdapter {
        /// Name of the adapter.
        adapter: String,
    },
    /// Work in another role.
    ChangeRole {
        /// The new role.
        role: Role,
    },
}

/// Computes the orders that lead the upstreams of a pool towards its desired state.
///
/// An upstream that has to load a model gets no other order until that is done.
pub fn orders_for_pool(desired: &DesiredPool, observed: &[ObservedUpstream]) -> Vec<Order> {
    let roles = assign_roles(desired.roles, observed);
    let loading = observed.iter().filter(|it| it.is_loading).count();
    let mut loads_left = (desired.max_loading as usize).saturating_sub(loading);
    let mut orders = Vec::new();
    for (upstream, role) in observed.iter().zip(roles) {
        let mut order = |action| {
            let upstream = upstream.name.clone();
            orders.push(Order { upstream, fence: desired.fence, action });
        };
        if !has_model(desired, upstream) {
            // An upstream that loads the wrong model already takes one of the places.
            if loads_left == 0 && !upstream.is_loading {
                continue;
            }
            if !upstream.is_loading {
                loads_left -= 1;
            }
            let model = desired.model.clone();
            order(OrderAction::LoadModel { model, version: desired.model_version.clone() });
            continue;
        }
        if upstream.is_loading {
            continue;
        }
        for adapter in missing(&upstream.adapters, &desired.adapters) {
            order(OrderAction::UnloadAdapter { adapter });
        }
        for adapter in missing(&desired.adapters, &upstream.adapters) {
            order(OrderAction::LoadAdapter { adapter });
        }
        if role != upstream.role {
            order(OrderAction::ChangeRole { role });
        }
    }
    orders
}

fn has_model(desired: &DesiredPool, upstream: &ObservedUpstream) -> bool {
    let is_same_model = upstream.model.as_deref() == Some(desired.model.as_str());
    is_same_model && upstream.model_version.as_deref() == Some(desired.model_version.as_str())
}

/// Returns the names of `wanted` that `present` lacks.
fn missing(wanted: &[String], present: &[String]) -> Vec<String> {
    wanted.iter().filter(|it| !present.contains(it)).cloned().collect()
}

/// Chooses the role of each upstream so that as few as possible change theirs.
fn assign_roles(counts: RoleCounts, observed: &[ObservedUpstream]) -> Vec<Role> {
    let mut prefill_left = counts.prefill;
    let mut decode_left = counts.decode;
    let mut roles: Vec<Option<Role>> = Vec::new();
    for upstream in observed {
        let left = match upstream.role {
            Role::Prefill => &mut prefill_left,
            Role::Decode => &mut decode_left,
            Role::Mixed => {
                roles.push(None);
                continue;
            }
        };
        let keeps = *left > 0;
        *left -= u32::from(keeps);
        roles.push(keeps.then_some(upstream.role));
    }
    let mut assigned = Vec::new();
    for role in roles {
        let role = match role {
            Some(role) => role,
            None if prefill_left > 0 => {
                prefill_left -= 1;
                Role::Prefill
            }
            None if decode_left > 0 => {
                decode_left -= 1;
                Role::Decode
            }
            None => Role::Mixed,
        };
        assigned.push(role);
    }
    assigned
}
