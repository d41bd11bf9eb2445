//! Embeds the agent's state machine in another program, which does the I/O and passes the time.

use yuccatrail_core::{
    agent::{AgentCore, AgentSettings, CallResult, ProbeResult, Submission},
    attempt::AttemptLookup,
    control::{ConfigRecord, ControlState, ControlUpdate, OperationsRecord},
    drain::{FreshnessSettings, GateSettings},
    ids::{AttemptId, Digest, Incarnation, RequestId, StageIndex},
};

const DOCUMENT: &str = r#"
[[pool]]
name = "engines"
kind = "generate"
concurrency = 4
cold_concurrency = 1

[[customer]]
name = "acme"
"#;

fn main() {
    let agent = Incarnation(1);
    let mut core = new_agent(agent);
    core.set_control(&control_state(), 0);

    // A probe reports the upstream as warm, so that more calls than the cold limit may start.
    let ticket = core.begin_probe(1);
    let answered = ProbeResult::Answered { boot_id: Some(1), warm: Some(true) };
    core.on_probe(ticket, answered, 1);

    let submission = submission(agent);
    core.submit(&submission, 2);
    let Some(dispatch) = core.next(2) else {
        println!("no attempt may start now");
        return;
    };
    println!("sending {} to the upstream", dispatch.attempt);

    // The program makes the call itself and reports its result.
    core.push_chunk(dispatch.key, "hello".into());
    let result = CallResult::Completed { status: 200, content_type: None };
    core.on_end(dispatch.key, &result, 30);
    if let AttemptLookup::Accepted(page) = core.read(submission.attempt, 0, 1024) {
        println!("{} chunks, {:?}", page.chunks.len(), page.progress);
    }
}

fn new_agent(incarnation: Incarnation) -> AgentCore {
    let gate = GateSettings {
        upstream: "engine-1".to_owned(),
        data_centre: "north".to_owned(),
        freshness: FreshnessSettings::default(),
    };
    AgentCore::new(AgentSettings::new(incarnation, "engines".to_owned(), gate), 0)
}

fn control_state() -> ControlState {
    let digest = Digest::of(DOCUMENT.as_bytes());
    let mut state = ControlState::new();
    state.adopt(ControlUpdate {
        config: Some(ConfigRecord { version: 1, digest, text: DOCUMENT.into() }),
        operations: Some(OperationsRecord::initial()),
    });
    state
}

fn submission(agent: Incarnation) -> Submission {
    Submission {
        attempt: AttemptId {
            request: RequestId(7),
            stage: StageIndex(0),
            number: 0,
            entry: Incarnation(2),
        },
        agent,
        pool: "engines".to_owned(),
        customer: "acme".to_owned(),
        fingerprint: Digest::of(b"request body"),
        strikes: Vec::new(),
        dispatch_by_ms: 1_000,
        deadline_ms: 2_000,
        estimate_ms: 50,
    }
}
