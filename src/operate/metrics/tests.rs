use super::*;

fn counters(served: u64) -> ClassCounters {
    ClassCounters { served, ..ClassCounters::default() }
}

#[test]
fn each_class_is_rendered_from_the_start_and_labels_are_escaped() {
    let classes = vec![("check-setup".to_string(), counters(0)), ("a\"\\\nb".to_string(), counters(3))];
    let text = Metrics { classes, in_flight: 14, ..Metrics::default() }.render();
    for line in [
        "edge_lb_served_total{class=\"check-setup\"} 0",
        "edge_lb_served_total{class=\"a\\\"\\\\\\nb\"} 3",
        "edge_lb_attempts_total{class=\"check-setup\"} 0",
        "edge_lb_in_flight 14",
        "edge_lb_setup_servers_known 0",
        "edge_lb_setup_servers_excluded 0",
    ] {
        assert!(text.lines().any(|l| l == line), "{line} is not in\n{text}");
    }
}

#[test]
fn class_of_both_frontends_is_counted_together() {
    let of = |name: &str, served| Metrics {
        classes: vec![(name.to_string(), counters(served))],
        in_flight: 1,
        servers_known: 2,
        servers_excluded: 1,
        list_age_s: name.len(),
    };
    let mut sum = of("a", 2);
    sum.add(of("a", 3));
    sum.add(of("b", 4));
    assert_eq!(sum.classes, [("a".to_string(), counters(5)), ("b".to_string(), counters(4))]);
    assert_eq!((sum.in_flight, sum.servers_known, sum.servers_excluded), (3, 6, 3));
}
