//! Benchmarks of the limits: look-up of a number's route in the trie and in a plain list, reading and checking a file, and
//! one call through the core with and without limits. Run with `cargo bench --bench limits`.

use std::hint::black_box;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use cobaltspool::gateway::{AttemptId, Gateway, Input, SetupRequest};
use cobaltspool::limits::trie::Trie;
use cobaltspool::limits::{Ceilings, ClassInfo, Limiter};
use cobaltspool::sections;
use cobaltspool::*;
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};

/// Distinct prefixes of 3 to 8 digits, as in a numbering plan.
fn prefixes(count: usize) -> Vec<String> {
    let mut all: Vec<String> = (0..count)
        .map(|n| {
            let mixed = (n as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            format!("{:08x}", (mixed >> 32) as u32)[..3 + n % 6].to_string()
        })
        .collect();
    all.sort();
    all.dedup();
    all
}

fn numbers() -> Vec<String> {
    (0..1_000u64).map(|n| format!("{:016x}", n.wrapping_mul(0xd134_2543_de82_ef95))).collect()
}

fn look_up_route(c: &mut Criterion) {
    let numbers = numbers();
    let mut group = c.benchmark_group("route of a number");
    for size in [10, 1_000, 100_000] {
        let prefixes = prefixes(size);
        let trie = Trie::new(prefixes.iter().zip(0u32..).map(|(p, n)| (p.as_str(), n)));
        let mut next = numbers.iter().cycle();
        group.bench_with_input(BenchmarkId::new("trie", size), &trie, |b, trie| {
            b.iter(|| trie.prefix_values(black_box(next.next().unwrap())).flatten().copied().last());
        });
        let mut next = numbers.iter().cycle();
        group.bench_with_input(BenchmarkId::new("plain list", size), &prefixes, |b, prefixes| {
            b.iter(|| {
                let number = black_box(next.next().unwrap());
                prefixes
                    .iter()
                    .filter(|p| number.starts_with(p.as_str()))
                    .max_by_key(|p| p.len())
                    .map(String::len)
            });
        });
    }
    group.finish();
}

fn ceilings() -> Ceilings {
    let class = |name: &str| ClassInfo {
        name: name.into(),
        max_wait: 9_000_000,
        is_idempotent: true,
        allowed_pools: None,
    };
    Ceilings {
        attempts: 4,
        release_wait: 500_000,
        classes: Some(vec![class("check-setup"), class("order")]),
        ..Ceilings::default()
    }
}

fn ops_file(routes: usize) -> String {
    let mut text =
        "{limits: {default: {attempts: 3}, classes: {order: {time_out: '2s'}}, routes: [\n".to_string();
    for (n, prefix) in prefixes(routes).iter().enumerate() {
        text.push_str(&format!(
            "  {{name: 'r{n}', match: {{prefix: '{prefix}'}}, limits: {{open_calls: {}, rate: {{per_second: 20}}}}}},\n",
            n % 900 + 10
        ));
    }
    text + "]}}"
}

fn read_and_check(c: &mut Criterion) {
    let mut group = c.benchmark_group("read and check a file");
    group.sample_size(10).measurement_time(Duration::from_secs(15));
    for size in [10, 1_000, 150_000] {
        let text = ops_file(size);
        let routes = prefixes(size).len();
        group.bench_with_input(BenchmarkId::from_parameter(routes), &text, |b, text| {
            b.iter(|| {
                sections::read_text("bench", text, &ceilings(), None)
                    .map_or(0, |o| o.plan.section.routes.len())
            });
        });
    }
    group.finish();
}

fn settings() -> Settings {
    let class = || Class {
        latency_objective: 2_000_000,
        priority_weight: 1.0,
        late_weight_share: 0.25,
        pools: None,
        is_idempotent: true,
    };
    Settings {
        gatekeeper_count: 1,
        classes: vec![class(), class()],
        tick: 5_000,
        max_attempts: 4,
        may_cancel: true,
        rules: Rules {
            drain_grace: 250_000,
            release_wait: 500_000,
            warm_up_duration: 15_000_000,
            ..Rules::default()
        },
        ..Settings::default()
    }
}

fn handle_call(c: &mut Criterion) {
    let mut group = c.benchmark_group("a call through the core");
    let text = ops_file(100_000);
    for variant in ["no limits", "100000 routes"] {
        group.bench_function(variant, |b| {
            let names = ["check-setup".to_string(), "order".to_string()];
            let plan = sections::read_text("bench", &text, &ceilings(), None).map(|o| Rc::new(o.plan)).ok();
            let plan = plan.filter(|_| variant != "no limits");
            let limiter = Limiter::from_plan_or_settings(plan, &settings(), &names, 7);
            let mut gateway = Gateway::with_limits(settings(), limiter, 7);
            let (mut out, mut now, mut n) = (Vec::new(), 1_000_000_000u64, 0u64);
            let entries = (0..3)
                .map(|s| ServerEntry {
                    server: ServerId(s),
                    pool: PoolId(s.into()),
                    started_at: 0,
                    status: ServerStatus::Up,
                })
                .collect();
            gateway.handle(
                now,
                Input::EndpointList { notified_at: now, scope: EndpointListScope::Complete, entries },
                &mut out,
            );
            let numbers = numbers();
            b.iter(|| {
                n += 1;
                now += 20_000; // 50 calls per second
                let call = CallId(n);
                let set_up = SetupRequest {
                    call,
                    wire_id: format!("{n:016x}").into(),
                    class: 0,
                    number: Number(n),
                    dialled_number: numbers[n as usize % numbers.len()].as_str().into(),
                    first_choice: PoolId(0),
                    time_left: 9_000_000,
                    is_redial: false,
                    description: Bytes::from_static(b"offer"),
                };
                gateway.handle(now, Input::SetupRequested(set_up), &mut out);
                let attempt = AttemptId { call, number: 0 };
                let description = Bytes::from_static(b"answer");
                gateway.handle(now + 5_000, Input::Established { attempt, description }, &mut out);
                gateway.handle(now + 9_000, Input::CallReleased(call), &mut out);
                black_box(&out);
                out.clear();
            });
            assert_eq!(gateway.pending_calls() + gateway.established_calls(), 0);
        });
    }
    group.finish();
}

criterion_group!(benches, look_up_route, read_and_check, handle_call);
criterion_main!(benches);
