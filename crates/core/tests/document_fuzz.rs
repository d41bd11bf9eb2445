//! Fuzzes the parser of environment documents.
//!
//! The oracle generates the text itself, together with the path and line of every fault in it.

mod harness;

use proptest::{collection::vec, prelude::*, sample::select, test_runner::TestRunner};
use yuccatrail_core::{FastMap, document};

/// Pools at the start of every text, which the other elements refer to.
const BASE_POOLS: &str = "\
[[pool]]
name = 'engine'
kind = 'generate'
estimate_ms = 100
token_estimate_ms = 2
[[pool]]
name = 'desk'
kind = 'service'
estimate_ms = 10
";

/// Marker at the end of a faulty line, followed by the path of the faulty key within its element.
const FAULT_MARKER: &str = " #! ";

const VALID: &[&str] = &[
    "[[pool]]\nname = 'NAME'\nkind = 'encode'\nconcurrency = 4\ncold_concurrency = 4\n",
    "[[pipeline]]\nname = 'NAME'\ndeadline_ms = 300\nstage = [{ pool = 'engine', max_tokens = 100 }]\n",
    "[[pipeline]]\nname = 'NAME'\ndeadline_ms = 200\n[[pipeline.stage]]\npool = 'engine'\n\
     [[pipeline.stage]]\npool = 'engine'\n",
    "[[service]]\nname = 'NAME'\npool = 'desk'\ndeadline_ms = 10\nidempotent = [{ method = 'GET' }]\n",
    "[[customer]]\nname = 'NAME'\nshare = 3\n",
];

const FAULTY_VALUES: &[&str] = &[
    "[[pool]]\nname = 'engine' #! name\nkind = 'encode'\n",
    "[[pool]]\nname = '' #! name\nkind = 'encode'\n",
    "[[pool]]\nname = 'NAME'\nkind = 'encode'\nconcurrency = 0 #! concurrency\n",
    "[[pool]]\nname = 'NAME'\nkind = 'encode'\ncold_concurrency = 0 #! cold_concurrency\n",
    "[[pool]]\nname = 'NAME'\ncold_concurrency = 9 #! cold_concurrency\nkind = 'encode'\n",
    "[[pipeline]]\nname = 'NAME'\ndeadline_ms = 9\nstage = [] #! stage\n",
    "[[pipeline]]\nname = 'NAME'\ndeadline_ms = 299 #! deadline_ms\n\
     stage = [{ pool = 'engine', max_tokens = 100 }]\n",
    "[[pipeline]]\nname = 'NAME'\ndeadline_ms = 150\n[[pipeline.stage]]\npool = 'engine'\n\
     [[pipeline.stage]]\npool = 'engines' #! stage[1].pool\n",
    "[[pipeline]]\nname = 'NAME'\ndeadline_ms = 150\n[[pipeline.stage]]\n\
     pool = 'desk' #! stage[0].pool\n",
    "[[pipeline]]\nname = 'NAME'\ndeadline_ms = 250\nstage = [{ pool = 'engine' },\n\
     { pool = 'engine', top_k = 0 }] #! stage[1].top_k\n",
    "[[service]]\nname = 'NAME'\npool = 'desks' #! pool\ndeadline_ms = 10\n",
    "[[service]]\nname = 'NAME'\npool = 'engine' #! pool\ndeadline_ms = 10\n",
    "[[service]]\nname = 'NAME'\npool = 'desk'\ndeadline_ms = 9 #! deadline_ms\n",
    "[[service]]\nname = 'NAME'\npool = 'desk'\ndeadline_ms = 0 #! deadline_ms\n",
    "[[service]]\nname = 'NAME'\npool = 'desk'\ndeadline_ms = 10\n\
     [[service.idempotent]]\nmethod = 'get' #! idempotent[0].method\n",
    "[[customer]]\nname = 'NAME'\nshare = 0 #! share\n",
];

const FAULTY_SHAPES: &[&str] = &[
    "[[pool]]\nname = 'NAME'\nkind = 'encode'\ncolour = 3 #! colour\n",
    "[[pool]]\nname = 'NAME'\nkind = 'encoder' #! kind\n",
    "[[pipeline]]\nname = 'NAME'\ndeadline_ms = '1 s' #! deadline_ms\nstage = []\n",
    "[[pipeline]]\nname = 'NAME'\ndeadline_ms = 1\n[[pipeline.stage]]\npool = 7 #! stage[0].pool\n",
    "[[service]]\nname = 'NAME'\npool = 'desk'\ndeadline_ms = -1 #! deadline_ms\n",
    "[[customer]]\nname = ['NAME'] #! name\n",
];

/// Path and line number of a fault.
type Location = (String, usize);

/// Returns the text of the elements and the expected locations of their faults.
fn generate_text(elements: &[&str]) -> (String, Vec<Location>) {
    let mut text = BASE_POOLS.to_owned();
    let mut locations = vec![];
    let mut counts = FastMap::from_iter([("pool", 2)]);
    let mut line = text.lines().count();
    for (number, element) in elements.iter().enumerate() {
        let kind = element.trim_start_matches('[').split(']').next().expect("a header");
        let index = counts.entry(kind).or_insert(0);
        for content in element.lines() {
            line += 1;
            if let Some((_, key)) = content.split_once(FAULT_MARKER) {
                locations.push((format!("{kind}[{index}].{key}"), line));
            }
        }
        *index += 1;
        text.push_str(&element.replace("NAME", &format!("name-{number}")));
    }
    (text, locations)
}

fn reported_locations(text: &str) -> Vec<Location> {
    let mut locations = vec![];
    for fault in document::parse(text).err().unwrap_or_default() {
        locations.push((fault.path, fault.line));
    }
    locations
}

fn check_generated<S: Strategy>(seed: u64, strategy: S, check: impl Fn(S::Value)) {
    let outcome = TestRunner::new(harness::config(seed, 400)).run(&strategy, |value| {
        check(value);
        Ok(())
    });
    outcome.unwrap_or_else(|error| panic!("seed {seed}: {error}"));
}

#[test]
fn every_invalid_value_is_reported_with_path_and_line() {
    let elements: Vec<&str> = [VALID, FAULTY_VALUES].concat();
    check_generated(1, vec(select(elements), 0..20), |elements| {
        let (text, locations) = generate_text(&elements);
        assert_eq!(reported_locations(&text), locations, "in:\n{text}");
    });
}

#[test]
fn every_unknown_key_or_wrong_type_is_reported_with_path_and_line() {
    let elements: Vec<&str> = [VALID, FAULTY_SHAPES].concat();
    check_generated(2, vec(select(elements), 0..20), |elements| {
        let (text, locations) = generate_text(&elements);
        assert_eq!(reported_locations(&text), locations, "in:\n{text}");
    });
}

#[test]
fn fault_lines_of_arbitrary_text_are_within_the_text() {
    let elements: Vec<&str> = [VALID, FAULTY_VALUES, FAULTY_SHAPES].concat();
    let insertions = vec((any::<prop::sample::Index>(), "\\PC{0,3}"), 1..6);
    check_generated(3, (vec(select(elements), 0..6), insertions), |(elements, insertions)| {
        let (mut text, _) = generate_text(&elements);
        for (index, insertion) in insertions {
            let mut at = index.index(text.len());
            while !text.is_char_boundary(at) {
                at -= 1;
            }
            text.insert_str(at, &insertion);
        }
        for (_, line) in reported_locations(&text) {
            assert!((1..=text.lines().count().max(1)).contains(&line), "line {line} of:\n{text}");
        }
    });
}
