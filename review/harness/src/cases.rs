//! The cases, each with its deployment, its disruption and its check.

pub mod header_limit;
pub mod late_copies;
pub mod slow_reader;
pub mod slow_readers_memory;

use std::{io, path::Path};

use serde_json::{Value, json};

use crate::{
    relay::{Deployment, Relay},
    store::Store,
};

/// Zones of the deployment, each with one entry.
pub const ZONES: [&str; 3] = ["tx-central-a", "tx-central-b", "tx-central-c"];
/// Host of all routes.
pub const HOST: &str = "pule25.example";
/// Key of the only tenant.
pub const KEY: &str = "9dnn2ctnfzs989anu6ws";

/// What a play has shown.
pub struct Outcome {
    /// One line for each break of the rule.
    pub broken: Vec<String>,
    /// What was sent, answered and run.
    pub lines: Vec<String>,
}

/// Returns a configuration with the limits of the site files.
pub fn configuration(version: u64, routes: Value, services: Value) -> Value {
    json!({
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": 16_384, "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 3_000, "idleTimeoutMs": 15_000,
        },
        "tenants": [{ "name": "bozi300", "apiKeys": [KEY], "priority": 1 }],
    })
}

pub fn route(prefix: &str, kind: &str, service: &str, timeout_ms: u64) -> Value {
    json!({
        "name": format!("r-{}", prefix.trim_matches('/')), "hostname": HOST, "pathPrefix": prefix,
        "kind": kind, "timeoutMs": timeout_ms, "targetLatencyMs": 2_500, "priority": 1,
        "service": service, "maxAttempts": 2, "stages": [], "allowAnonymous": false,
        "sessionAffinity": false, "streamResumption": false,
    })
}

pub fn service(name: &str) -> Value {
    json!({
        "name": name, "healthCheckPath": "/health", "connectionLimit": 360, "protocol": "h1",
        "tls": false, "coldStartS": 0.0, "coldPerS": 0.0,
    })
}

/// Starts one entry in each zone.
pub fn start_entries(
    root: &Path,
    folder: &Path,
    store: &Store,
) -> io::Result<(Deployment, Vec<Relay>)> {
    let deployment = Deployment {
        root: root.to_owned(),
        folder: folder.to_owned(),
        platform: store.address,
        grace_period_s: 8,
    };
    let mut relays = Vec::new();
    for zone in ZONES {
        relays.push(deployment.start(&format!("front-{zone}-1"), zone)?);
    }
    Ok((deployment, relays))
}
