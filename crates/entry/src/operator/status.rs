//! `status`: shows the state in force and the state that each entry reports.

use std::{net::SocketAddr, process::ExitCode};

use bpaf::{Parser, construct, long};
use serde::Serialize;
use yuccatrail_core::control::{StoredConfig, StoredOperations, Versions};
use yuccatrail_platform::{CURRENT, Client, Kind, PlatformError};

use super::{
    confirm::{self, ControlPart, EntryReport},
    entry_status::UpstreamStatus,
    http_status, options,
    outcome::{eprint_line, print_line},
};

/// Exit code if the platform is not available.
const EXIT_NOT_AVAILABLE: u8 = 4;

/// Exit code if an entry does not report the versions in force.
const EXIT_NOT_CONFIRMED: u8 = 6;

/// Arguments of the command.
#[derive(Clone, Debug)]
pub(crate) struct Arguments {
    platform: SocketAddr,
    json: bool,
    environment: String,
    entries: Vec<SocketAddr>,
}

/// State of an environment on the platform and as reported by the entries.
#[derive(Debug, Default, Serialize)]
struct Report {
    /// State stored on the platform, if it is available.
    platform: Option<InForce>,
    /// Reports of the entries.
    entries: Vec<EntryLine>,
    /// Error of the platform, if it is not available.
    platform_error: Option<String>,
}

/// Control state stored on the platform.
#[derive(Debug, Serialize)]
struct InForce {
    versions: Versions,
    digest: Option<String>,
    data_centres_out: Vec<String>,
    upstreams_leaving: Vec<String>,
}

/// Report of one entry.
#[derive(Debug, Serialize)]
struct EntryLine {
    name: String,
    address: SocketAddr,
    versions: Option<Versions>,
    upstreams: Option<UpstreamCounts>,
    error: Option<String>,
}

/// Numbers of upstreams that an entry reports.
#[derive(Clone, Copy, Debug, Serialize)]
struct UpstreamCounts {
    listed: usize,
    connected: usize,
}

/// Parses the command.
pub(crate) fn command() -> impl Parser<Arguments> {
    let platform = options::platform();
    let json = options::json();
    let environment = options::environment();
    let entries = long("entry")
        .help("Ask the entry at this address as well; works while the platform is down")
        .argument("ADDRESS")
        .many();
    construct!(Arguments { platform, json, environment, entries })
        .to_options()
        .descr("Show what is in force and what each entry reports")
        .footer(options::EXIT_CODES)
        .command("status")
}

/// Runs the command.
pub(crate) async fn run(arguments: Arguments) -> ExitCode {
    let client = options::client(arguments.platform, &arguments.environment);
    let mut reports = Vec::new();
    for address in &arguments.entries {
        let status = http_status::read(*address).await;
        reports.push(EntryReport { name: address.to_string(), address: *address, status });
    }
    let (platform, platform_error) = match in_force(&client, &mut reports).await {
        Ok(platform) => (Some(platform), None),
        Err(error) => (None, Some(error.to_string())),
    };
    let code = exit_code(platform.as_ref(), &reports);
    let entries = reports.iter().map(entry_line).collect();
    print(&Report { platform, entries, platform_error }, arguments.json);
    ExitCode::from(code)
}

/// Reads the state in force, and appends the reports of the listed entries to `reports`.
async fn in_force(
    client: &Client,
    reports: &mut Vec<EntryReport>,
) -> Result<InForce, PlatformError> {
    let config = client.get::<StoredConfig>(Kind::Environments, CURRENT).await?;
    let operations = client.get::<StoredOperations>(Kind::Operations, CURRENT).await?;
    reports.extend(confirm::entry_reports(client).await?);
    let config = config.map(|it| it.spec.record);
    let operations = operations.map(|it| it.spec.record).unwrap_or_default();
    let versions = Versions {
        config: config.as_ref().map_or(0, |it| it.version),
        operations: operations.version,
    };
    Ok(InForce {
        versions,
        digest: config.map(|it| it.digest.to_string()),
        data_centres_out: operations.data_centres_out,
        upstreams_leaving: operations.upstreams_leaving,
    })
}

fn exit_code(platform: Option<&InForce>, reports: &[EntryReport]) -> u8 {
    let Some(platform) = platform else { return EXIT_NOT_AVAILABLE };
    let versions = platform.versions;
    let config = confirm::unconfirmed_entries(reports, ControlPart::Config, versions.config);
    let operations =
        confirm::unconfirmed_entries(reports, ControlPart::Operations, versions.operations);
    if config.is_empty() && operations.is_empty() { 0 } else { EXIT_NOT_CONFIRMED }
}

fn entry_line(report: &EntryReport) -> EntryLine {
    let mut line = EntryLine {
        name: report.name.clone(),
        address: report.address,
        versions: None,
        upstreams: None,
        error: None,
    };
    match &report.status {
        Ok(status) => {
            line.versions = Some(status.versions);
            line.upstreams = status.upstreams.as_deref().map(count_upstreams);
        }
        Err(error) => line.error = Some(error.to_string()),
    }
    line
}

fn print(report: &Report, json: bool) {
    if json {
        // Serialization cannot fail, because all members are numbers and strings.
        print_line(&serde_json::to_string(report).unwrap_or_default());
        return;
    }
    if let Some(error) = &report.platform_error {
        eprint_line(error);
    }
    if let Some(platform) = &report.platform {
        print_in_force(platform);
    }
    for entry in &report.entries {
        print_entry(entry);
    }
}

fn print_in_force(platform: &InForce) {
    let Versions { config, operations } = platform.versions;
    let digest = platform.digest.as_deref().unwrap_or("none");
    print_line(&format!("configuration: version {config}, digest {digest}"));
    print_line(&format!("operational state: version {operations}"));
    print_line(&format!("data centres out: {}", names(&platform.data_centres_out)));
    print_line(&format!("upstreams leaving: {}", names(&platform.upstreams_leaving)));
}

fn print_entry(entry: &EntryLine) {
    let mut line = format!("entry {} at {}:", entry.name, entry.address);
    if let Some(error) = &entry.error {
        line.push_str(&format!(" {error}"));
    }
    if let Some(Versions { config, operations }) = entry.versions {
        line.push_str(&format!(" configuration {config}, operational state {operations}"));
    }
    if let Some(UpstreamCounts { listed, connected }) = entry.upstreams {
        line.push_str(&format!(", {connected} of {listed} upstreams connected"));
    }
    print_line(&line);
}

fn count_upstreams(upstreams: &[UpstreamStatus]) -> UpstreamCounts {
    let connected = upstreams.iter().filter(|it| it.connected).count();
    UpstreamCounts { listed: upstreams.len(), connected }
}

fn names(names: &[String]) -> String {
    if names.is_empty() {
        return "none".to_owned();
    }
    names.join(", ")
}
