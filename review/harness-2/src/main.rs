//! Cases of the second review, one for each subcommand.
//!
//! `review-case-2 CASE ROOT FOLDER` runs a case against the relay that was built in the repository
//! ROOT, with FOLDER for temporary files, and writes `record.txt` into the folder that RECORD names. It
//! exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run. With `TROUBLE=0`
//! the disruption is left out.

mod deadly_request;
mod foreign_names;
mod http;
mod late_record;
mod relay;
mod slow_reader;
mod store;
mod world;

use std::{env, path::PathBuf, process::ExitCode, sync::Arc};

use world::World;

/// What a case gets.
pub struct Run {
    pub root: PathBuf,
    pub folder: PathBuf,
    pub world: Arc<World>,
    pub has_trouble: bool,
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, root, folder, record] = arguments.as_slice() else {
        eprintln!("usage: review-case-2 CASE ROOT FOLDER RECORD");
        return ExitCode::from(2);
    };
    let world = match World::new(&PathBuf::from(record)) {
        Ok(world) => Arc::new(world),
        Err(error) => {
            eprintln!("{record}: {error}");
            return ExitCode::from(2);
        }
    };
    let run = Run {
        root: root.into(),
        folder: folder.into(),
        world: world.clone(),
        has_trouble: env::var("TROUBLE").as_deref() != Ok("0"),
    };
    let ran = match case.as_str() {
        "deadly-request" => deadly_request::run(run).await,
        "slow-reader" => slow_reader::run(run).await,
        "late-record" => late_record::run(run).await,
        "foreign-names" => foreign_names::run(run).await,
        other => Err(std::io::Error::other(format!("unknown case {other}"))),
    };
    let summary = match &ran {
        Ok(()) => format!("broken: {}; {}", world.broken(), world.counts()),
        Err(error) => format!("the case couldn't run: {error}"),
    };
    world.note(&summary);
    println!("{summary}");
    match ran {
        Err(_) => ExitCode::from(2),
        Ok(()) if world.broken() > 0 => ExitCode::from(1),
        Ok(()) => ExitCode::SUCCESS,
    }
}
