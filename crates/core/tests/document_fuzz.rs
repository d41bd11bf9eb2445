//! Fuzzes the parser of environment documents.
//!
//! The oracle writes the text itself and so knows the path and line of every fault that it puts in.

mod harness;

use proptest::{collection::vec, prelude::*, sample::select, test_runner::TestRunner};
use yuccatrail_core::{FastMap, document};

/// Elements that every text begins with, so that others can refer to them.
const BASE: &str = "\
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

/// An element of the text; faulty lines end with a mark that names the key of the fault.
const MARK: &str = " #! ";

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

/// Path and line of a fault.
type Place = (String, usize);

/// Writes the elements and collects the places of their faults.
fn write(elements: &[&str]) -> (String, Vec<Place>) {
    let mut text = BASE.to_owned();
    let mut places = vec![];
    let mut counts = FastMap::from_iter([("pool", 2)]);
    let mut line = text.lines().count();
    for (number, element) in elements.iter().enumerate() {
        let kind = element.trim_start_matches('[').split(']').next().expect("a header");
        let index = counts.entry(kind).or_insert(0);
        for content in element.lines() {
            line += 1;
            if let Some((_, key)) = content.split_once(MARK) {
                places.push((format!("{kind}[{index}].{key}"), line));
            }
        }
        *index += 1;
        text.push_str(&element.replace("NAME", &format!("name-{number}")));
    }
    (text, places)
}

fn parsed_places(text: &str) -> Vec<Place> {
    let mut places = vec![];
    for fault in document::parse(text).err().unwrap_or_default() {
        places.push((fault.path, fault.line));
    }
    places
}

fn run<S: Strategy>(seed: u64, strategy: S, check: impl Fn(S::Value)) {
    let outcome = TestRunner::new(harness::config(seed, 400)).run(&strategy, |value| {
        check(value);
        Ok(())
    });
    outcome.unwrap_or_else(|error| panic!("seed {seed}: {error}"));
}

#[test]
fn every_fault_of_a_value_is_named_with_path_and_line() {
    let elements: Vec<&str> = [VALID, FAULTY_VALUES].concat();
    run(1, vec(select(elements), 0..20), |elements| {
        let (text, places) = write(&elements);
        assert_eq!(parsed_places(&text), places, "in:\n{text}");
    });
}

#[test]
fn every_element_of_wrong_shape_is_named_with_path_and_line() {
    let elements: Vec<&str> = [VALID, FAULTY_SHAPES].concat();
    run(2, vec(select(elements), 0..20), |elements| {
        let (text, places) = write(&elements);
        assert_eq!(parsed_places(&text), places, "in:\n{text}");
    });
}

#[test]
fn faults_of_any_text_lie_within_it() {
    let elements: Vec<&str> = [VALID, FAULTY_VALUES, FAULTY_SHAPES].concat();
    let cuts = vec((any::<prop::sample::Index>(), "\\PC{0,3}"), 1..6);
    run(3, (vec(select(elements), 0..6), cuts), |(elements, cuts)| {
        let (mut text, _) = write(&elements);
        for (index, insertion) in cuts {
            let mut at = index.index(text.len());
            while !text.is_char_boundary(at) {
                at -= 1;
            }
            text.insert_str(at, &insertion);
        }
        for (_, line) in parsed_places(&text) {
            assert!((1..=text.lines().count().max(1)).contains(&line), "line {line} of:\n{text}");
        }
    });
}
