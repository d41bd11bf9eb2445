//! Desired state of a pool and the commands that reconcile its upstreams with it.

use serde::{Deserialize, Serialize};

use super::FencingToken;

/// Part of inference that an upstream performs within its pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Prefill and decode.
    #[default]
    Mixed,
    /// Prefill only: processes prompts and exports their KV cache.
    Prefill,
    /// Decode only: imports KV caches and generates tokens.
    Decode,
}

/// Number of upstreams in each specialised role; all others are [`Role::Mixed`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoleCounts {
    /// Number of upstreams with [`Role::Prefill`].
    pub prefill: u32,
    /// Number of upstreams with [`Role::Decode`].
    pub decode: u32,
}

/// Desired state of a pool, written by the holder of the lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DesiredPool {
    /// Name of the pool.
    pub pool: String,
    /// Fencing token under which the state was written.
    pub fence: FencingToken,
    /// Model that every upstream loads.
    pub model: String,
    /// Version of the model.
    pub model_version: String,
    /// Adapters that every upstream loads on top of the model.
    pub adapters: Vec<String>,
    /// Number of upstreams in each role.
    pub roles: RoleCounts,
    /// Maximum number of upstreams that load a model concurrently, since the loading of weights is
    /// rate-limited and a loading upstream is out of service.
    pub max_loading: u32,
}

/// State of an upstream as it reports it.
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
    /// Current role.
    pub role: Role,
}

/// Command to an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Command {
    /// Name of the upstream.
    pub upstream: String,
    /// Fencing token of the lease under which the command was issued.
    pub fence: FencingToken,
    /// Change that the upstream has to make.
    pub action: CommandAction,
}

/// Change that a command requests; every action is idempotent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CommandAction {
    /// Load a model in place of the current one, which unloads all adapters.
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
    /// Unload an adapter.
    UnloadAdapter {
        /// Name of the adapter.
        adapter: String,
    },
    /// Switch to another role.
    ChangeRole {
        /// The new role.
        role: Role,
    },
}

/// Computes the commands that bring the upstreams of a pool towards its desired state.
///
/// An upstream that has to load a model gets no other command until the model is loaded.
pub fn plan_commands(desired: &DesiredPool, observed: &[ObservedUpstream]) -> Vec<Command> {
    let roles = assign_roles(desired.roles, observed);
    let loading = observed.iter().filter(|it| it.is_loading).count();
    let mut loads_left = (desired.max_loading as usize).saturating_sub(loading);
    let mut commands = Vec::new();
    for (upstream, role) in observed.iter().zip(roles) {
        let mut push_command = |action| {
            let upstream = upstream.name.clone();
            commands.push(Command { upstream, fence: desired.fence, action });
        };
        if !has_model(desired, upstream) {
            // An upstream that is loading the wrong model already counts towards `max_loading`.
            if loads_left == 0 && !upstream.is_loading {
                continue;
            }
            if !upstream.is_loading {
                loads_left -= 1;
            }
            let model = desired.model.clone();
            push_command(CommandAction::LoadModel {
                model,
                version: desired.model_version.clone(),
            });
            continue;
        }
        if upstream.is_loading {
            continue;
        }
        for adapter in missing_names(&upstream.adapters, &desired.adapters) {
            push_command(CommandAction::UnloadAdapter { adapter });
        }
        for adapter in missing_names(&desired.adapters, &upstream.adapters) {
            push_command(CommandAction::LoadAdapter { adapter });
        }
        if role != upstream.role {
            push_command(CommandAction::ChangeRole { role });
        }
    }
    commands
}

fn has_model(desired: &DesiredPool, upstream: &ObservedUpstream) -> bool {
    let is_same_model = upstream.model.as_deref() == Some(desired.model.as_str());
    is_same_model && upstream.model_version.as_deref() == Some(desired.model_version.as_str())
}

/// Returns the names in `names` that are not in `present`.
fn missing_names(names: &[String], present: &[String]) -> Vec<String> {
    names.iter().filter(|it| !present.contains(it)).cloned().collect()
}

/// Assigns a role to each upstream so that as few as possible change theirs.
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
        let keeps_role = *left > 0;
        *left -= u32::from(keeps_role);
        roles.push(keeps_role.then_some(upstream.role));
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
