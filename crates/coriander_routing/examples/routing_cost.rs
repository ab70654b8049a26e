//! Measures the CPU time and memory of routing, sessions and messages as a base and a slope.
//!
//! Run with `cargo run --release -p coriander_routing --example routing_cost`. Times are the
//! minimum of several rounds; memory is the growth of the resident set over many objects.

use std::hint::black_box;
use std::time::{Duration, Instant};

use coriander_core::{LogPosition, MemberId, MonotonicTime, TermNumber};
use coriander_routing::{
    LoggedWrite, MemberPlacement, MemberReport, ReadRequest, ReadRouter, ReplicaTable,
    RequestClassification, RequestIdentity, StatementCache, StatementKind,
};
use coriander_tokens::{RequestDigest, SecretKeys, SessionPosition, SessionToken};
use coriander_wire::{DatagramCodec, FrameCodec};
use libsql_hrana::proto::PipelineReqBody;

const ROUNDS: usize = 7;
const PAGE_SIZE: usize = 4096;
const TERM: TermNumber = TermNumber::new(1);

/// Returns the minimum time per call in nanoseconds.
fn measure_time<T>(calls: u32, mut call: impl FnMut() -> T) -> f64 {
    let rounds = (0..ROUNDS).map(|_| {
        let start = Instant::now();
        for _ in 0..calls {
            black_box(call());
        }
        start.elapsed().as_nanos() as f64 / f64::from(calls)
    });
    rounds.fold(f64::INFINITY, f64::min)
}

/// Prints base and slope of the least-squares line through the measured points.
fn print_line(name: &str, unit: &str, per: &str, points: &[(f64, f64)]) {
    let count = points.len() as f64;
    let mean = |value: fn(&(f64, f64)) -> f64| points.iter().map(value).sum::<f64>() / count;
    let (mean_x, mean_y) = (mean(|point| point.0), mean(|point| point.1));
    let product: f64 = points
        .iter()
        .map(|(x, y)| (x - mean_x) * (y - mean_y))
        .sum();
    let square: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let slope = product / square;
    let base = mean_y - slope * mean_x;
    println!("{name:<38} {base:>10.1} {unit:<5} + {slope:>10.3} {unit} per {per}");
}

fn print_value(name: &str, unit: &str, value: f64) {
    println!("{name:<38} {value:>10.1} {unit}");
}

/// Returns the resident bytes per object.
///
/// The objects are never freed, so that later measurements do not reuse their memory.
fn measure_memory<T>(count: usize, create: impl Fn(usize) -> T) -> f64 {
    let before = resident_bytes();
    let objects: Vec<T> = (0..count).map(create).collect();
    let growth = resident_bytes().saturating_sub(before);
    std::mem::forget(objects);
    growth as f64 / count as f64
}

fn resident_bytes() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<usize>().ok());
    pages.unwrap_or_default() * PAGE_SIZE
}

fn member_id(number: usize) -> MemberId {
    format!("member-{number}").parse().expect("valid name")
}

fn new_table(members: usize, samples: u64) -> ReplicaTable {
    let mut table = ReplicaTable::new("zone-0".parse().expect("valid name"), 3);
    for number in 0..members {
        let zone = format!("zone-{}", number % 3).parse().expect("valid name");
        let (is_leaving, is_zone_out) = (false, false);
        table.set_member(
            &member_id(number),
            MemberPlacement {
                zone,
                is_leaving,
                is_zone_out,
            },
        );
    }
    for sample in 0..samples {
        for number in 0..members {
            record_report(&mut table, number, sample);
        }
    }
    table
}

fn record_report(table: &mut ReplicaTable, number: usize, sample: u64) {
    let log = LogPosition::new(TERM, sample + 1);
    let report = MemberReport {
        term: TERM,
        is_primary: number == 0,
        log,
    };
    let sent = MonotonicTime::from_millis(100 * sample);
    table.record_status(
        &member_id(number),
        report,
        sent,
        sent + Duration::from_millis(3),
    );
}

fn measure_router() {
    const SAMPLES: u64 = 200;
    let now = MonotonicTime::from_millis(100 * SAMPLES);
    let (mut choice, mut records, mut status) = (Vec::new(), Vec::new(), Vec::new());
    for members in [3, 5, 9, 17] {
        let mut table = new_table(members, SAMPLES);
        let request = ReadRequest {
            freshness: Duration::from_secs(2),
            session: SessionPosition::AtLeast(LogPosition::new(TERM, SAMPLES - 1)),
            primary_queue_time: Duration::ZERO,
            elapsed_wait: Duration::ZERO,
            excluded: &[],
        };
        let x = members as f64;
        choice.push((
            x,
            measure_time(20_000, || ReadRouter.choose(&table, &request, now)),
        ));
        let last = member_id(members - 1);
        records.push((
            x,
            measure_time(20_000, || {
                let ticket = table.record_start(&last, now);
                let log = LogPosition::new(TERM, SAMPLES);
                table.record_response(&ticket, TERM, Some(log), now);
            }),
        ));
        let mut sample = SAMPLES;
        status.push((
            x,
            measure_time(5_000, || {
                sample += 1;
                record_report(&mut table, 0, sample);
            }),
        ));
    }
    print_line("choice of a member", "ns", "member", &choice);
    print_line("start and response of a request", "ns", "member", &records);
    print_line("status reply", "ns", "member", &status);
}

fn measure_database_memory() {
    let points = [3, 5, 9, 17].map(|members| {
        (
            members as f64,
            measure_memory(4_000, |_| new_table(members, 2)),
        )
    });
    print_line("memory of a database", "bytes", "member", &points);
    let samples = [2, 64, 128, 256]
        .map(|count| (count as f64, measure_memory(4_000, |_| new_table(3, count))));
    print_line(
        "memory of a database of 3 members",
        "bytes",
        "sample",
        &samples,
    );
}

fn measure_classification() {
    let mut cache = StatementCache::default();
    let sql =
        |number: u32| format!("SELECT id, weight FROM entries WHERE site = ?1 AND id > {number}");
    let texts: Vec<String> = (0..4_000).map(sql).collect();
    print_value(
        "classification, cached",
        "ns",
        measure_time(20_000, || cache.classify(&texts[0])),
    );
    print_value(
        "classification of a read, parsed",
        "ns",
        measure_time(2_000, || StatementKind::classify(&texts[0])),
    );
    let insert = "INSERT INTO entries (site, weight) VALUES (?1, ?2)";
    print_value(
        "classification of a write",
        "ns",
        measure_time(20_000, || StatementKind::classify(insert)),
    );
    let full = measure_memory(20, |_| {
        let mut cache = StatementCache::default();
        texts.iter().for_each(|text| {
            cache.classify(text);
        });
        cache
    });
    print_value(
        "memory of a cached text",
        "bytes",
        full / texts.len() as f64,
    );
}

fn measure_log() {
    let statement = r#"{"type":"execute","stmt":{"sql":"INSERT INTO t VALUES (?)","args":[{"type":"integer","value":"5"}]}}"#;
    let digest = RequestDigest::compute(
        &"records".parse().expect("valid name"),
        &"orders".parse().expect("valid name"),
        b"body",
    );
    let account = "north".parse().expect("valid name");
    let identity = RequestIdentity::new(account, "request-1", digest).expect("valid id");
    let mut cache = StatementCache::default();
    let (mut classify, mut wrap) = (Vec::new(), Vec::new());
    for count in [1, 2, 4, 8, 16] {
        let body = format!(r#"{{"requests":[{}]}}"#, vec![statement; count].join(","));
        let pipeline: PipelineReqBody = serde_json::from_str(&body).expect("valid pipeline");
        let requests = &pipeline.requests;
        classify.push((
            count as f64,
            measure_time(5_000, || {
                RequestClassification::classify_requests(requests, &mut cache)
            }),
        ));
        wrap.push((
            count as f64,
            measure_time(2_000, || {
                let write = LoggedWrite::new(identity.clone(), requests, &mut cache);
                write.expect("can be wrapped").pipeline(None)
            }),
        ));
    }
    print_line("class of a pipeline, cached", "ns", "statement", &classify);
    print_line("pipeline of a logged write", "ns", "statement", &wrap);
}

fn measure_session() {
    let keys = SecretKeys::derive(b"a fleet secret of some length").expect("long enough");
    let (mut encode, mut decode, mut length) = (Vec::new(), Vec::new(), Vec::new());
    for databases in [1, 4, 8, 16, 32] {
        let mut token = SessionToken::new("north".parse().expect("valid name"));
        for number in 0..databases {
            let database = format!("database-{number}").parse().expect("valid name");
            token.advance(&database, LogPosition::new(TermNumber::new(40), 1_000_000));
        }
        let x = databases as f64;
        let text = token.encode(&keys);
        encode.push((x, measure_time(5_000, || token.encode(&keys))));
        decode.push((
            x,
            measure_time(5_000, || {
                SessionToken::decode(&text, &keys, token.account())
            }),
        ));
        length.push((x, text.len() as f64));
    }
    print_line("session token, encode", "ns", "database", &encode);
    print_line("session token, decode", "ns", "database", &decode);
    print_line("session token, length", "bytes", "database", &length);
    let decoded = measure_memory(50_000, |_| {
        let mut token = SessionToken::new("north".parse().expect("valid name"));
        let database = "records".parse().expect("valid name");
        token.advance(&database, LogPosition::new(TERM, 7));
        token
    });
    print_value("memory of a decoded token", "bytes", decoded);
    let (database, class) = (
        "records".parse().expect("name"),
        "orders".parse().expect("name"),
    );
    let digests = [100usize, 1_000, 10_000, 100_000].map(|length| {
        let body = vec![1; length];
        (
            length as f64,
            measure_time(500, || RequestDigest::compute(&database, &class, &body)),
        )
    });
    print_line("request digest", "ns", "byte", &digests);
}

fn measure_wire() {
    let key = [7; 32];
    let mut frames = FrameCodec::new(&key);
    let (mut encode, mut decode) = (Vec::new(), Vec::new());
    for length in [100usize, 1_000, 10_000, 100_000] {
        let body = "x".repeat(length);
        let frame = frames.encode(&body).expect("fits");
        encode.push((length as f64, measure_time(500, || frames.encode(&body))));
        decode.push((
            length as f64,
            measure_time(500, || frames.decode::<String>(&frame)),
        ));
    }
    print_line("frame, encode", "ns", "byte", &encode);
    print_line("frame, decode", "ns", "byte", &decode);
    let codec = |name: String, epoch| DatagramCodec::new(&key, name.parse().expect("name"), epoch);
    let mut sender = codec("sender".to_owned(), 1);
    print_value(
        "datagram of 150 bytes, encode",
        "ns",
        measure_time(5_000, || sender.encode([1u8; 100].as_slice())),
    );
    let mut receiver = codec("receiver".to_owned(), 2);
    let total = measure_time(5_000, || {
        let datagram = sender.encode(&"x".repeat(100)).expect("fits");
        receiver.decode::<String>(&datagram)
    });
    print_value("datagram, encode and decode", "ns", total);
    let per_table = measure_memory(20, |_| {
        let mut receiver = codec("receiver".to_owned(), 2);
        for number in 0..4_096 {
            let datagram = codec(format!("instance-{number}"), 1)
                .encode(&1u8)
                .expect("fits");
            receiver.decode::<u8>(&datagram).expect("new sender");
        }
        receiver
    });
    print_value("memory of a sender", "bytes", per_table / 4_096.0);
}

fn main() {
    measure_database_memory();
    measure_router();
    measure_classification();
    measure_log();
    measure_session();
    measure_wire();
}
