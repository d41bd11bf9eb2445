//! Loads of two stages in virtual time, in which the second reads much from the first.

use slotmap::SlotMap;
use yuccatrail_core::{
    batching::{
        AvailableUpstream, Batcher, CallKey, CallResult, GroupKey, PieceResult, PieceSource,
        PlannedCall, PreferredDataCentre, StageWork,
    },
    route_table::StageService,
    upstreams::UpstreamKey,
};

/// Upstreams of each of the two services stand in these data centres.
const PLACES: [&str; 5] = ["x", "x", "y", "y", "z"];
/// Requests that arrive in a run.
const REQUESTS: u64 = 400;
/// Time between two arrivals on a calm day, in milliseconds; the users' sheets state about 36 a second.
const CALM_ARRIVAL_MS: u64 = 28;
/// Time between two arrivals in a burst that the upstreams can't bear, in milliseconds: more than twice
/// as many.
const BURST_ARRIVAL_MS: u64 = 12;
/// Time within which a request's stages have to be done, in milliseconds.
const AIM_MS: u64 = 2_000;
/// Pieces and bytes of a result of the two stages, as on the users' sheets.
const PIECES: [usize; 2] = [6, 10];
const RESULT_BYTES: [u64; 2] = [60_000, 6_000];

const SERVICES: [StageService; 2] = [
    StageService {
        slots: 1,
        queue: 2,
        batch: 32,
        call_ms: 200.0,
        piece_ms: 5.4,
        result_capacity_bytes: 4_100_000,
        result_ttl_ms: 4_000,
    },
    StageService {
        slots: 1,
        queue: 2,
        batch: 52,
        call_ms: 200.0,
        piece_ms: 3.3,
        result_capacity_bytes: 690_000,
        result_ttl_ms: 4_000,
    },
];

/// What the callers got, and what it moved.
#[derive(Default)]
struct Outcome {
    on_time: u64,
    read_bytes: u64,
    remote_bytes: u64,
}

struct Running {
    end_ms: u64,
    service: usize,
    order: PlannedCall,
}

struct Request {
    arrived_ms: u64,
    groups: [Option<GroupKey>; 2],
    inputs: Vec<String>,
}

struct Load {
    batchers: [Batcher; 2],
    upstreams: [Vec<AvailableUpstream>; 2],
    requests: Vec<Request>,
    running: Vec<Running>,
    policy: Policy,
    outcome: Outcome,
}

/// What differs between two runs.
#[derive(Clone, Copy)]
struct Policy {
    arrival_ms: u64,
    uses_homes: bool,
    /// Whether the time of the second stage is reckoned as under load or as stated.
    reckons_with_load: bool,
}

impl Load {
    fn new(policy: Policy) -> Self {
        let mut keys: SlotMap<UpstreamKey, ()> = SlotMap::with_key();
        let mut upstreams = || {
            PLACES
                .map(|it| AvailableUpstream { key: keys.insert(()), data_centre: it.into() })
                .into()
        };
        Self {
            upstreams: [upstreams(), upstreams()],
            batchers: SERVICES.map(Batcher::new),
            requests: Vec::new(),
            running: Vec::new(),
            policy,
            outcome: Outcome::default(),
        }
    }

    fn run(mut self) -> Outcome {
        let arrival_ms = self.policy.arrival_ms;
        for now_ms in 0..REQUESTS * arrival_ms + 4 * AIM_MS {
            if now_ms % arrival_ms == 0 && now_ms / arrival_ms < REQUESTS {
                self.arrive(now_ms);
            }
            let (ended, running) = self.running.drain(..).partition(|it| it.end_ms <= now_ms);
            self.running = running;
            for call in ended {
                self.finish(&call, now_ms);
            }
            for service in 0..SERVICES.len() {
                self.start_calls(service, now_ms);
            }
        }
        self.outcome
    }

    fn arrive(&mut self, now_ms: u64) {
        let request = Request { arrived_ms: now_ms, groups: [None, None], inputs: Vec::new() };
        self.requests.push(request);
        self.submit(self.requests.len() - 1, 0, PieceSource::Key("key".to_owned()), None);
    }

    fn submit(
        &mut self,
        index: usize,
        stage: usize,
        source: PieceSource,
        home: Option<PreferredDataCentre>,
    ) {
        let next = &self.batchers[1];
        let next_ms = match (stage, self.policy.reckons_with_load) {
            (0, true) => next.duration_under_load_ms(),
            (0, false) => next.duration_ms(PIECES[1]),
            _ => 0.0,
        };
        let request = &mut self.requests[index];
        let work = StageWork {
            request_id: index.to_string(),
            stage,
            pieces: PIECES[stage],
            source,
            is_only_reader: true,
            result_bytes: RESULT_BYTES[stage],
            priority: 0,
            soft_deadline_ms: request.arrived_ms + AIM_MS - next_ms as u64,
            deadline_ms: request.arrived_ms + 2 * AIM_MS,
            preferred_data_centre: home,
        };
        request.groups[stage] = Some(self.batchers[stage].submit(work));
    }

    fn start_calls(&mut self, service: usize, now_ms: u64) {
        while let Some(order) = self.batchers[service].next_call(&self.upstreams[service], now_ms) {
            self.count_bytes(service, &order);
            let duration_ms = self.batchers[service].duration_ms(order.pieces.len());
            self.running.push(Running { end_ms: now_ms + duration_ms as u64, service, order });
        }
    }

    /// Counts what the pieces of a call read; each piece reads all of its inputs.
    fn count_bytes(&mut self, service: usize, order: &PlannedCall) {
        let place = self.place_of(service, order.upstream).to_owned();
        for (group, _) in &order.pieces {
            let Some(work) = self.batchers[service].work(*group) else { continue };
            let PieceSource::Inputs(inputs) = &work.source else { continue };
            for input in inputs {
                self.outcome.read_bytes += RESULT_BYTES[0];
                if maker_place(input) != place {
                    self.outcome.remote_bytes += RESULT_BYTES[0];
                }
            }
        }
    }

    fn finish(&mut self, call: &Running, now_ms: u64) {
        let place = self.place_of(call.service, call.order.upstream).to_owned();
        let made =
            |it: usize| PieceResult::Completed(handle(&place, call.service, call.order.call, it));
        let result = CallResult::Answered((0..call.order.pieces.len()).map(made).collect());
        let batcher = &mut self.batchers[call.service];
        let settled = batcher.finish(call.order.call, result, now_ms);
        for (group, _, handles) in settled.ended {
            let of_group = |it: &Request| it.groups[call.service] == Some(group);
            let Some(index) = self.requests.iter().position(of_group) else { continue };
            if call.service == 1 {
                self.end(index, &handles, now_ms);
                continue;
            }
            let shares = handles.iter().map(|it| (maker_place(it).into(), RESULT_BYTES[0]));
            let home = PreferredDataCentre::choose(shares).filter(|_| self.policy.uses_homes);
            self.requests[index].inputs = handles.clone();
            self.submit(index, 1, PieceSource::Inputs(handles), home);
        }
    }

    fn end(&mut self, index: usize, handles: &[String], now_ms: u64) {
        let request = &self.requests[index];
        if now_ms <= request.arrived_ms + AIM_MS {
            self.outcome.on_time += 1;
        }
        for handle in &request.inputs {
            self.batchers[0].release(handle);
        }
        for handle in handles {
            self.batchers[1].release(handle);
        }
    }

    fn place_of(&self, service: usize, upstream: UpstreamKey) -> &str {
        let view = self.upstreams[service].iter().find(|it| it.key == upstream);
        view.map_or("", |it| &it.data_centre)
    }
}

fn handle(place: &str, service: usize, call: CallKey, piece: usize) -> String {
    format!("{place}/{service}/{call:?}/{piece}")
}

fn maker_place(handle: &str) -> &str {
    handle.split_once('/').map_or(handle, |(place, _)| place)
}

#[test]
fn pieces_read_their_inputs_nearby_and_callers_are_served_as_before() {
    let anywhere =
        Policy { arrival_ms: CALM_ARRIVAL_MS, uses_homes: false, reckons_with_load: true };
    let near = Load::new(Policy { uses_homes: true, ..anywhere }).run();
    let anywhere = Load::new(anywhere).run();
    println!(
        "on time {} and {} of {REQUESTS}, remote {} and {} of {} bytes",
        anywhere.on_time, near.on_time, anywhere.remote_bytes, near.remote_bytes, near.read_bytes
    );
    assert!(near.on_time * 100 >= REQUESTS * 95);
    assert!(near.on_time >= anywhere.on_time);
    assert_eq!(near.read_bytes, anywhere.read_bytes);
    assert!(near.remote_bytes * 2 <= anywhere.remote_bytes);
}

#[test]
fn in_a_burst_those_that_can_be_on_time_are_on_time() {
    let stated =
        Policy { arrival_ms: BURST_ARRIVAL_MS, uses_homes: true, reckons_with_load: false };
    let loaded = Load::new(Policy { reckons_with_load: true, ..stated }).run();
    let stated = Load::new(stated).run();
    println!("on time {} and {} of {REQUESTS}", stated.on_time, loaded.on_time);
    assert!(loaded.on_time > stated.on_time);
    assert!(loaded.on_time * 2 >= REQUESTS);
}
