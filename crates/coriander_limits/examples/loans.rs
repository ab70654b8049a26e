//! Plays the loans of an account at fleets of several sizes in three availability zones and prints
//! messages per operation, with and without regard to the zones.

#[path = "support/shares_play.rs"]
mod shares_play;

use shares_play::{Fleet, Load};

fn main() {
    let even = Load::even(0.625);
    let loads = [
        ("even, 0.625 of the rate", even),
        ("even, 0.9 of the rate", Load::even(0.9)),
        (
            "7 of 10 in one zone, 0.625",
            Load {
                first_zone: 0.7,
                ..even
            },
        ),
        (
            "callers at 2 instances a zone, 0.625",
            Load {
                connected: 2,
                ..even
            },
        ),
        ("even, 4 times the rate", Load::even(4.0)),
        (
            "all in one zone, 4 times the rate",
            Load {
                first_zone: 1.0,
                factor: 4.0,
                ..even
            },
        ),
    ];
    println!(
        "| load | instances | rate/s | zones | messages | between zones | admitted | refused within rate | excess |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    for (name, load) in loads {
        for size in [30, 100, 300] {
            for rate in [20.0, 100.0, 700.0] {
                for by_zone in [false, true] {
                    let played = Fleet::new(size, rate, by_zone).play(load);
                    let operations = f64::from(played.operations);
                    println!(
                        "| {name} | {size} | {rate} | {by_zone} | {:.2} | {:.2} | {} of {} | {:.2} % | {:.0} |",
                        f64::from(played.messages) / operations,
                        f64::from(played.zone_messages) / operations,
                        played.admitted,
                        played.operations,
                        100.0 * f64::from(played.refused_within_rate) / operations,
                        played.excess,
                    );
                }
            }
        }
    }
}
