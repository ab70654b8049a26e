//! Compares gates ahead of a member with four slots and an unordered queue inside, to which six home
//! instances send, at loads around and above its capacity, and while it is five times slower.
//!
//! ```text
//! cargo run --release -p coriander_queue --example member_gate
//! ```

mod played_member;

use played_member::{ACCOUNTS, CLASSES, Outcome, POLICIES, Phase, play};

const SEED: u64 = 7;

fn print_rows(label: &str, policy: &str, outcome: &Outcome, from_ms: u64, to_ms: u64) {
    let within = |at: u64| at >= from_ms && at < to_ms;
    let cells: Vec<_> = (0..CLASSES.len())
        .map(|class| {
            let tally = outcome.tally(|arrival| within(arrival.at_ms) && arrival.class == class);
            let mean = tally.mean_latency_ms();
            format!(
                "{:.0} % + {:.0} % late, {mean:.0} ms",
                tally.percent(tally.on_time),
                tally.percent(tally.late)
            )
        })
        .collect();
    let by_account = |account: usize| {
        let tally = outcome.tally(|arrival| within(arrival.at_ms) && arrival.account == account);
        tally.percent(tally.on_time)
    };
    let worst = (1..ACCOUNTS).map(by_account).fold(f64::INFINITY, f64::min);
    let seconds = (from_ms / 1_000) as usize..(to_ms / 1_000) as usize;
    let limits = &outcome.limits[seconds];
    let limit = limits.iter().sum::<f64>() / limits.len() as f64;
    println!(
        "| {label} | {policy} | {} | {worst:.0} % | {limit:.0} |",
        cells.join(" | ")
    );
}

fn main() {
    println!("| load | gate | urgent | usual | patient | worst account on time | sum of limits |");
    println!("|---|---|---|---|---|---|---|");
    for load in [0.5, 0.8, 1.0, 1.3, 1.7, 2.5] {
        for (name, policy) in POLICIES {
            let phases = [
                Phase::well(3_000, 0.5),
                Phase::well(13_000, load),
                Phase {
                    hot: 7,
                    ..Phase::well(20_000, load)
                },
            ];
            let outcome = play(&phases, policy, SEED);
            print_rows(&format!("{load}"), name, &outcome, 3_000, 13_000);
            print_rows(
                &format!("{load}, one account 7 x"),
                name,
                &outcome,
                13_000,
                20_000,
            );
        }
    }
    for (name, policy) in POLICIES {
        let phases = [
            Phase::well(5_000, 0.6),
            Phase {
                slow: 5.0,
                ..Phase::well(12_000, 0.3)
            },
            Phase::well(18_000, 0.6),
            Phase {
                silent: 0.4,
                ..Phase::well(24_000, 0.6)
            },
            Phase::well(30_000, 0.6),
        ];
        let outcome = play(&phases, policy, SEED);
        print_rows("0.3, 5 x slower", name, &outcome, 5_000, 12_000);
        print_rows(
            "0.6, first second well again",
            name,
            &outcome,
            12_000,
            13_000,
        );
        print_rows("0.6, later", name, &outcome, 13_000, 18_000);
        print_rows("0.6, 0.4 unanswered", name, &outcome, 18_000, 24_000);
        print_rows("0.6, answered again", name, &outcome, 24_000, 30_000);
    }
}
