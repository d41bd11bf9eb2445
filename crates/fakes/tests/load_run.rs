//! A short load on the real processes: every response is the expected one.

use yuccatrail_fakes::{
    load::{
        plan::{Mix, Phase},
        run::{self, LoadSettings},
        tally::Deadlines,
    },
    stack::{
        plan::StackPlan,
        run::{Stack, StackError},
    },
};

#[tokio::test(flavor = "multi_thread")]
async fn responses_to_a_short_load_are_correct() -> Result<(), StackError> {
    let stack = Stack::start(StackPlan::sized(1, 1)).await?;
    let settings = LoadSettings {
        entries: vec![stack.entry(0)],
        phases: vec![Phase { seconds: 1.0, rate_per_second: 20.0, mix: Mix::demo() }],
        seed: 1,
        key_prefix: "load-run".to_owned(),
        deadlines: Deadlines { pipeline_ms: 8_000, service_ms: 4_000 },
    };
    let tally = run::run(&settings).await;
    stack.close().await?;
    assert!(tally.sent > 0);
    assert_eq!((tally.wrong, tally.broken), (0, 0), "{:?}", tally.examples);
    Ok(())
}
