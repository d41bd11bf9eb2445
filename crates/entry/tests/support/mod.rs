//! Runs the `yuccatrail` binary against a fake platform, with fake or real entries.

use std::{
    net::SocketAddr,
    path::PathBuf,
    sync::atomic::{AtomicU32, Ordering},
};

use futures::StreamExt;
use serde_json::Value;
use tarpc::{
    context::Context,
    server::{BaseChannel, Channel},
};
use tokio::{net::TcpListener, process::Command, sync::watch, task::JoinHandle};
use yuccatrail_core::{
    control::{ControlUpdate, StoredConfig, StoredOperations, Versions},
    ids::{Digest, Incarnation},
    membership::{InstanceRecord, InstanceRole, InstanceState},
    routing::LoadReport,
};
use yuccatrail_fakes::{
    platform::{FakePlatform, FakePlatformSettings},
    stack::process::Process,
};
use yuccatrail_platform::{CURRENT, Client, ClientSettings, Kind};
use yuccatrail_rpc::{
    messages::{Ages, Feedback, SyncReply, SyncRequest},
    service::Peer,
    transport,
};

/// A valid document.
pub(crate) const DOCUMENT: &str = "[[customer]]\nname = \"lone-star\"\nshare = 4\n";

/// Another valid document.
pub(crate) const OTHER_DOCUMENT: &str = "# second\n[[customer]]\nname = \"lone-star\"\n";

static NEXT_DIRECTORY_NUMBER: AtomicU32 = AtomicU32::new(0);

/// Returns the digest of a text in hexadecimal form.
pub(crate) fn digest(text: &str) -> String {
    Digest::of(text.as_bytes()).to_string()
}

/// A fake platform, and a directory for document files.
pub(crate) struct Fixture {
    pub(crate) platform: FakePlatform,
    directory: PathBuf,
}

/// Output and exit code of a command.
pub(crate) struct CommandResult {
    pub(crate) code: i32,
    /// Standard output parsed as JSON; null if it is not JSON.
    pub(crate) json: Value,
    pub(crate) stderr: String,
}

impl Fixture {
    pub(crate) async fn start() -> Self {
        let platform = FakePlatform::start(FakePlatformSettings::default()).await.unwrap();
        let number = NEXT_DIRECTORY_NUMBER.fetch_add(1, Ordering::Relaxed);
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("operator-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&directory).unwrap();
        Self { platform, directory }
    }

    /// Writes a document and returns its path.
    pub(crate) fn file(&self, name: &str, text: &str) -> String {
        let path = self.directory.join(name);
        std::fs::write(&path, text).unwrap();
        path.to_str().unwrap().to_owned()
    }

    /// Runs the binary with the arguments until it exits.
    pub(crate) async fn run(&self, arguments: &[&str]) -> CommandResult {
        let output = Command::new(env!("CARGO_BIN_EXE_yuccatrail"))
            .args(arguments)
            .env_remove("YUCCATRAIL_ENVIRONMENT")
            .env_remove("YUCCATRAIL_TRIAL_ENVIRONMENT")
            .env("YUCCATRAIL_PLATFORM", self.platform.address().to_string())
            .output()
            .await
            .unwrap();
        CommandResult {
            code: output.status.code().unwrap(),
            json: serde_json::from_slice(&output.stdout).unwrap_or_default(),
            stderr: String::from_utf8(output.stderr).unwrap(),
        }
    }

    /// Creates a platform client for the production environment.
    pub(crate) fn production(&self) -> Client {
        Client::new(ClientSettings {
            address: self.platform.address(),
            ..ClientSettings::default()
        })
    }

    /// Reads the configuration stored for production.
    pub(crate) async fn config(&self) -> StoredConfig {
        self.production().get(Kind::Environments, CURRENT).await.unwrap().unwrap().spec
    }

    /// Reads the operational state stored for production.
    pub(crate) async fn operations(&self) -> StoredOperations {
        self.production().get(Kind::Operations, CURRENT).await.unwrap().unwrap().spec
    }

    /// Starts a fake entry in data centre `east` and adds it to the instance list.
    pub(crate) async fn start_entry(&self, name: &str) -> FakeEntry {
        let entry = FakeEntry::start().await;
        self.list_entry(name, entry.address).await;
        entry
    }

    /// Starts `yuccatrail serve` in data centre `east` and adds it to the instance list.
    pub(crate) async fn start_real_entry(&self, name: &str) -> Process {
        let platform = self.platform.address().to_string();
        let mut arguments = vec!["serve".to_owned()];
        for (flag, value) in [
            ("--name", name),
            ("--data-centre", "east"),
            ("--listen", "127.0.0.1:0"),
            ("--peer-listen", "127.0.0.1:0"),
            ("--platform", platform.as_str()),
            ("--environment", "production"),
        ] {
            arguments.push(flag.to_owned());
            arguments.push(value.to_owned());
        }
        let entry = Process::start(name, "yuccatrail", &arguments).await.unwrap();
        self.list_entry(name, entry.admin_address.unwrap()).await;
        entry
    }

    async fn list_entry(&self, name: &str, address: SocketAddr) {
        let instance = InstanceRecord {
            name: name.to_owned(),
            role: InstanceRole::Entry,
            pool: None,
            data_centre: "east".to_owned(),
            address,
            state: InstanceState::Live,
        };
        self.production().create(Kind::Instances, name, &instance).await.unwrap();
    }

    pub(crate) async fn close(self) {
        self.platform.close().await;
        std::fs::remove_dir_all(&self.directory).unwrap();
    }
}

/// Fake entry that replies to peer calls with configurable versions.
pub(crate) struct FakeEntry {
    address: SocketAddr,
    versions: watch::Sender<Versions>,
    task: JoinHandle<()>,
}

impl FakeEntry {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let versions = watch::Sender::new(Versions::default());
        let task = tokio::spawn(serve(listener, FakePeer { versions: versions.subscribe() }));
        Self { address, versions, task }
    }

    /// Sets the versions that the entry reports.
    pub(crate) fn set_versions(&self, config: u64, operations: u64) {
        self.versions.send_replace(Versions { config, operations });
    }

    pub(crate) fn close(self) {
        self.task.abort();
    }
}

#[derive(Clone)]
struct FakePeer {
    versions: watch::Receiver<Versions>,
}

impl Peer for FakePeer {
    async fn sync(self, _: Context, _: SyncRequest) -> SyncReply {
        let feedback = Feedback {
            incarnation: Incarnation(1),
            now_ms: 0,
            versions: *self.versions.borrow(),
            load: LoadReport::default(),
            strikes: Vec::new(),
        };
        SyncReply {
            feedback,
            update: ControlUpdate::default(),
            ages: Ages::default(),
            lacks_instances: false,
            sync_again: false,
        }
    }
}

async fn serve(listener: TcpListener, peer: FakePeer) {
    loop {
        let (stream, _) = listener.accept().await.unwrap();
        let transport = transport::accept(stream).await.unwrap();
        let channel = BaseChannel::with_defaults(Box::pin(transport));
        channel.execute(peer.clone().serve()).for_each(|response| response).await;
    }
}
