use super::*;

fn counters(served: u64) -> ClassCounters {
    ClassCounters { served, ..ClassCounters::default() }
}

#[test]
fn classes_without_calls_are_rendered_and_labels_are_escaped() {
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
        assert!(text.lines().any(|l| l == line), "{line} is missing in\n{text}");
    }
}

#[test]
fn counters_of_the_same_class_are_summed() {
    let metrics = |name: &str, served| Metrics {
        classes: vec![(name.to_string(), counters(served))],
        in_flight: 1,
        servers_known: 2,
        servers_excluded: 1,
        list_age_s: name.len(),
    };
    let mut sum = metrics("a", 2);
    sum.add(metrics("a", 3));
    sum.add(metrics("b", 4));
    assert_eq!(sum.classes, [("a".to_string(), counters(5)), ("b".to_string(), counters(4))]);
    assert_eq!((sum.in_flight, sum.servers_known, sum.servers_excluded), (3, 6, 3));
}
