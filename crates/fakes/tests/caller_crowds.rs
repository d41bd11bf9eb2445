//! Many callers with large unfinished bodies at one entry with the memory of a small machine.

use bytes::Bytes;
use tokio::sync::Mutex;
use yuccatrail_fakes::{
    crowd::Crowd,
    stack::{
        plan::StackPlan,
        process::Process,
        run::{Stack, start_entry_with_environment},
    },
};

/// Memory of the machine, in megabytes.
const MEMORY_MB: u64 = 128;
/// Largest body that the environment document allows, in bytes.
const BODY_BYTES: usize = 4 * 1024 * 1024;
/// File descriptors of the machine.
const FILE_DESCRIPTORS: usize = 500;
/// Callers that only hold a connection.
const CONNECTIONS: usize = 600;
/// Callers with large bodies.
const CROWD: usize = 60;

/// Lets one crowd run at a time.
static ALONE: Mutex<()> = Mutex::const_new(());

fn head(framing: &str) -> Bytes {
    format!(
        "POST /v1/services/work-orders/search HTTP/1.1\r\nhost: a.example\r\n\
         x-customer: lone-star\r\n{framing}\r\n\r\n"
    )
    .into()
}

/// Starts an entry with the limits of a small machine, and a stack for it.
async fn start() -> (Stack, Process) {
    let mut plan = StackPlan::short(&[("work-orders", 2)]);
    plan.entries.clear();
    let limits = format!("[limits]\nmax_body_bytes = {BODY_BYTES}");
    plan.document = plan.document.replace("[limits]", &limits);
    let stack = Stack::start(plan).await.expect("the stack starts");
    let (memory_mb, descriptors) = (MEMORY_MB.to_string(), FILE_DESCRIPTORS.to_string());
    let environment = [
        ("YUCCATRAIL_MEMORY_LIMIT_MB", memory_mb.as_str()),
        ("YUCCATRAIL_FILE_DESCRIPTOR_LIMIT", descriptors.as_str()),
    ];
    let (platform, listen) = (stack.platform.address, "127.0.0.1:0");
    let entry = start_entry_with_environment("entry-0", "north", platform, listen, &environment);
    let entry = entry.await.expect("the entry starts");
    stack.wait_dispatchable(entry.address).await.expect("the entry reaches the upstreams");
    (stack, entry)
}

#[tokio::test(flavor = "multi_thread")]
async fn unfinished_bodies_stay_within_the_memory_of_an_entry() {
    let _alone = ALONE.lock().await;
    let (stack, mut entry) = start().await;
    let part = Bytes::from(vec![b'a'; BODY_BYTES - 1]);
    let over = head(&format!("content-length: {}", BODY_BYTES + 1));
    let unfinished = head(&format!("content-length: {BODY_BYTES}"));
    let crowd = Crowd::open(entry.address, CROWD, |_| vec![unfinished.clone(), part.clone()]);
    crowd.settle().await;
    assert!(!entry.has_ended(), "the entry has ended");
    let answer = stack.caller.search(entry.address, "ordinary", &[]).await.unwrap();
    let memory_kb = entry.peak_memory_kb().expect("the entry runs");
    println!("peak memory {memory_kb} kB");
    assert!(memory_kb <= MEMORY_MB * 1024, "{memory_kb} kB");
    assert_eq!(answer.status, 200, "an ordinary request beside the crowd");
    crowd.close().await;
    // The head says that the body is too long, of which nothing needs to arrive.
    let refused = Crowd::open(entry.address, 1, |_| vec![over.clone()]);
    assert_eq!(refused.wait_answered().await[0].status(), Some(413));
    refused.close().await;
    let largest = Bytes::from(vec![b'a'; BODY_BYTES]);
    let path = "/v1/services/work-orders/search";
    let answer = stack.caller.send(entry.address, "POST", path, &[], largest).await.unwrap();
    assert_eq!(answer.status, 200, "a body of the largest size");
    entry.close().await.unwrap();
    stack.close().await.unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn connections_stay_within_the_descriptors_of_an_entry() {
    let _alone = ALONE.lock().await;
    let (stack, mut entry) = start().await;
    let requested = head("content-length: 0");
    for request in [Vec::new(), vec![requested.slice(..requested.len() - 2)], vec![requested]] {
        let crowd = Crowd::open(entry.address, CONNECTIONS, |_| request.clone());
        crowd.settle().await;
        assert!(!entry.has_ended(), "the entry has ended");
        let descriptors = entry.open_descriptors().expect("the entry runs");
        println!("{descriptors} descriptors");
        assert!(descriptors <= FILE_DESCRIPTORS, "{descriptors} descriptors");
        let answer = stack.caller.search(entry.address, "ordinary", &[]).await.unwrap();
        assert_eq!(answer.status, 200, "an ordinary request beside the crowd");
        crowd.close().await;
    }
    entry.close().await.unwrap();
    stack.close().await.unwrap();
}
