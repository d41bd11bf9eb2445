//! The environment document: pipelines, pools, services and customers.
//!
//! [`parse`] is the only function that creates a validated [`Document`] from text.

mod check;
mod fault;
mod locate;
mod parse;

#[cfg(test)]
mod tests;

pub use check::stage_estimate_ms;
pub use fault::{Fault, FaultKind};
pub use parse::{MAX_TEXT_BYTES, parse};

use serde::{Deserialize, Serialize};

/// Environment document, parsed from TOML.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Limits that apply to every request.
    #[serde(default)]
    pub limits: Limits,
    /// Pools of upstreams that run the same work.
    #[serde(default, rename = "pool")]
    pub pools: Vec<Pool>,
    /// Pipelines that callers may request.
    #[serde(default, rename = "pipeline")]
    pub pipelines: Vec<Pipeline>,
    /// Plain HTTP services that callers may request.
    #[serde(default, rename = "service")]
    pub services: Vec<Service>,
    /// Customers that may send requests.
    #[serde(default, rename = "customer")]
    pub customers: Vec<Customer>,
}

/// Limits that apply to every request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Time within which a caller must send its complete request, in milliseconds.
    pub request_read_timeout_ms: u64,
    /// Number of retries allowed per hundred completed stages.
    pub retries_per_hundred: u32,
    /// Number of strikes at which a request is quarantined; it gets one for each upstream that
    /// crashes while running it.
    pub quarantine_strikes: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_body_bytes: 1024 * 1024,
            request_read_timeout_ms: 10_000,
            retries_per_hundred: 20,
            quarantine_strikes: 2,
        }
    }
}

/// Kind of work that a pool does; determines the upstream protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PoolKind {
    /// Computes embeddings.
    Encode,
    /// Looks up documents by embedding.
    Retrieve,
    /// Ranks documents by relevance.
    Rerank,
    /// Generates text as a stream.
    Generate,
    /// Serves plain HTTP calls.
    Service,
}

/// How the upstreams of a pool handle the fencing tokens sent with placement commands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fencing {
    /// The upstream rejects a command with an outdated token.
    Checked,
    /// The upstream ignores the token, so only the agent checks it.
    #[default]
    Ignored,
}

/// A pool of upstreams that run the same work.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Name that stages and services refer to.
    pub name: String,
    /// Kind of work.
    pub kind: PoolKind,
    /// Model that the upstreams load, for pools that serve a model.
    #[serde(default)]
    pub model: Option<String>,
    /// Maximum number of concurrent calls on one warm upstream.
    #[serde(default = "default_concurrency")]
    pub concurrency: u32,
    /// Maximum number of concurrent calls on one upstream during a cold start.
    #[serde(default = "default_cold_concurrency")]
    pub cold_concurrency: u32,
    /// Maximum number of calls queued for one upstream.
    #[serde(default = "default_queue")]
    pub queue: u32,
    /// Expected time of one call on a warm upstream, in milliseconds.
    #[serde(default = "default_estimate_ms")]
    pub estimate_ms: u64,
    /// Expected time of one generated token, in milliseconds.
    #[serde(default)]
    pub token_estimate_ms: u64,
    /// How the upstreams handle fencing tokens.
    #[serde(default)]
    pub fencing: Fencing,
}

fn default_concurrency() -> u32 {
    8
}

fn default_cold_concurrency() -> u32 {
    1
}

fn default_queue() -> u32 {
    64
}

fn default_estimate_ms() -> u64 {
    50
}

/// A pipeline of stages that share one deadline.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pipeline {
    /// Name in the request path.
    pub name: String,
    /// Time from the arrival of a request to its complete response, in milliseconds.
    pub deadline_ms: u64,
    /// Stages in the order in which they run.
    #[serde(rename = "stage")]
    pub stages: Vec<Stage>,
}

/// One stage of a pipeline.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stage {
    /// Pool that runs the stage.
    pub pool: String,
    /// Number of documents that a retrieve or rerank stage returns.
    #[serde(default)]
    pub top_k: Option<u32>,
    /// Maximum length of the text that a generate stage produces, in tokens.
    #[serde(default)]
    pub max_tokens: Option<u32>,
}

/// A plain HTTP service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name in the request path.
    pub name: String,
    /// Pool that serves the calls.
    pub pool: String,
    /// Time from the arrival of a request to its complete response, in milliseconds.
    pub deadline_ms: u64,
    /// Rules that select the idempotent calls; calls that match none of them must not be repeated.
    #[serde(default)]
    pub idempotent: Vec<IdempotentRule>,
}

/// Selects idempotent calls of a service by method and path prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct IdempotentRule {
    /// HTTP method, in upper case.
    pub method: String,
    /// Prefix of the path below the service; starts with a slash.
    #[serde(default = "default_path")]
    pub path: String,
}

fn default_path() -> String {
    "/".to_owned()
}

/// A customer that sends requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// Name in the customer header.
    pub name: String,
    /// Weight of the customer in sharing a contended upstream.
    #[serde(default = "default_share")]
    pub share: u32,
}

fn default_share() -> u32 {
    1
}

impl Document {
    /// Finds a pool by name.
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        self.pools.iter().find(|it| it.name == name)
    }

    /// Finds a pipeline by name.
    pub fn pipeline(&self, name: &str) -> Option<&Pipeline> {
        self.pipelines.iter().find(|it| it.name == name)
    }

    /// Finds a service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|it| it.name == name)
    }

    /// Finds a customer by name.
    pub fn customer(&self, name: &str) -> Option<&Customer> {
        self.customers.iter().find(|it| it.name == name)
    }
}

impl Service {
    /// Tells whether a call with `method` to `path` is idempotent and so may be repeated.
    pub fn is_idempotent(&self, method: &str, path: &str) -> bool {
        self.idempotent.iter().any(|it| it.method == method && path.starts_with(&it.path))
    }
}
