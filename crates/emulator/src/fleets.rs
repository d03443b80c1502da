//! The same load on fleets of several sizes, by which instances are told of requests.

use std::fmt::Write as _;

use crate::load::{KINDS, ZONES};
use crate::pattern::{Exchange, surge};
use crate::policy::Policy;
use crate::report::{metrics, on_time};
use crate::simulation::{CallEnd, CallRecord, Run, run};

/// Instances and engines of the compared fleets: the first is a small twin of the others.
pub const SIZES: [(usize, usize); 5] = [(22, 17), (59, 69), (195, 150), (380, 600), (1_000, 600)];
/// Sizes whose full exchange takes too long to simulate.
const MAX_FULL_EXCHANGE: usize = 195;

/// Results of a surge on a fleet of one size.
#[derive(Clone, Copy, Debug)]
pub struct SizeResult {
    /// Share of the worth of all calls that was earned.
    pub worth: f64,
    /// Share of short prompts that were late or not served.
    pub late_chats: f64,
    /// Messages a second that an instance sent, in the mean.
    pub mean_messages: f64,
    /// Messages that all instances sent for a call, in the mean.
    pub call_messages: f64,
    /// Messages a second that the busiest instance sent.
    pub most_messages: f64,
}

/// Returns the share of short prompts that were late or not served.
fn late_chats(records: &[CallRecord]) -> f64 {
    let chats: Vec<&CallRecord> =
        records.iter().filter(|r| r.call.kind == 0 && r.end != Some(CallEnd::Left)).collect();
    let late = chats.iter().filter(|r| r.end != Some(CallEnd::Served) || !on_time(r)).count();
    late as f64 / chats.len().max(1) as f64
}

/// Plays a surge with `seeds` seeds.
pub fn play(instances: usize, engines: usize, exchange: Exchange, seeds: u64) -> SizeResult {
    let pattern = surge(instances, engines, exchange);
    let runs: Vec<Run> = (1..=seeds).map(|seed| run(&pattern, Policy::Mimosapass, seed)).collect();
    let seconds = pattern.duration.as_secs_f64() * seeds as f64;
    let messages = |instance: usize| runs.iter().map(|r| r.messages[instance]).sum::<u64>();
    let by_instance: Vec<f64> = (0..instances).map(|i| messages(i) as f64 / seconds).collect();
    let records: Vec<CallRecord> = runs.into_iter().flat_map(|r| r.records).collect();
    SizeResult {
        worth: metrics(&records).worth,
        late_chats: late_chats(&records),
        call_messages: by_instance.iter().sum::<f64>() * seconds / records.len().max(1) as f64,
        mean_messages: by_instance.iter().sum::<f64>() / instances as f64,
        most_messages: by_instance.into_iter().fold(0.0, f64::max),
    }
}

/// Returns a table of all sizes.
pub fn table(seeds: u64) -> String {
    let mut text = format!(
        "| Instances | Engines | Told of requests | Worth | Late {}s | Messages/s, mean | most |\n\
         |---|---|---|---|---|---|---|\n",
        KINDS[0].name
    );
    for (instances, engines) in SIZES {
        for exchange in [Exchange::All, Exchange::Schedulers] {
            if exchange == Exchange::All && instances > MAX_FULL_EXCHANGE {
                continue;
            }
            let told = match exchange {
                Exchange::All => "all".to_owned(),
                Exchange::Schedulers => format!("schedulers of {ZONES} zones"),
            };
            let r = play(instances, engines, exchange, seeds);
            let row = writeln!(
                text,
                "| {instances} | {engines} | {told} | {:.3} | {:.3} | {:.1} | {:.0} |",
                r.worth, r.late_chats, r.mean_messages, r.most_messages
            );
            row.unwrap_or_default();
        }
    }
    text
}
