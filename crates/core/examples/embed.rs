//! Embeds the agent's decisions in a program of one's own: no I/O, explicit time.

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

    // A probe shows the upstream warm, so more than the cold limit may start.
    let ticket = core.begin_probe(1);
    let answered = ProbeResult::Answered { boot_id: Some(1), warm: Some(true) };
    core.on_probe(ticket, answered, 1);

    let order = order(agent);
    core.submit(&order, 2);
    let Some(dispatch) = core.next(2) else {
        println!("nothing may start now");
        return;
    };
    println!("pass {} to the upstream", dispatch.attempt);

    // The program makes the call itself and reports how it ended.
    core.push_chunk(dispatch.key, "hello".into());
    let result = CallResult::Completed { status: 200, content_type: None };
    core.on_end(dispatch.key, &result, 30);
    if let AttemptLookup::Accepted(page) = core.read(order.attempt, 0, 1024) {
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

fn order(agent: Incarnation) -> Submission {
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
