//! Parsing of levels, and the rate limit per call site.

use super::*;

#[test]
fn lines_are_limited_per_call_site() {
    let first = || tracing::debug_span!("one").metadata().map(tracing::Metadata::callsite);
    let second = || tracing::debug_span!("two").metadata().map(tracing::Metadata::callsite);
    tracing::subscriber::with_default(tracing_subscriber::registry(), || {
        let (one, two) = (first().unwrap(), second().unwrap());
        let (limit, now) = (RateLimit::default(), Instant::now());
        let allowed = (0..200).filter(|_| limit.allows(one.clone(), now)).count();
        assert_eq!(allowed, MAX_LINES_PER_SITE as usize);
        assert!(limit.allows(two, now));
        assert!(limit.allows(one, now + RATE_PERIOD));
    });
}

/// A call site over its limit does not suppress the lines of other call sites.
#[test]
fn other_call_sites_are_logged_after_a_flood() {
    #[derive(Clone, Default)]
    struct Output(std::sync::Arc<Mutex<Vec<u8>>>);
    impl io::Write for Output {
        fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
            self.0.lock().unwrap().extend_from_slice(bytes);
            Ok(bytes.len())
        }

        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }
    let output = Output::default();
    let writer = output.clone();
    let lines = tracing_subscriber::fmt::layer().with_ansi(false).with_writer(move || writer.clone());
    let subscriber = tracing_subscriber::registry().with(lines).with(RateLimit::default());
    tracing::subscriber::with_default(subscriber, || {
        for n in 0..200 {
            tracing::info!(n, "flood");
        }
        tracing::info!("after it");
    });
    let text = String::from_utf8(output.0.lock().unwrap().clone()).unwrap();
    assert_eq!(text.matches("flood").count(), MAX_LINES_PER_SITE as usize);
    assert!(text.contains("after it"));
}

#[test]
fn invalid_levels_are_refused_with_a_hint() {
    assert!("info,call=debug".parse::<Levels>().is_ok());
    for bad in ["loud", "info,call=loud", "inof"] {
        let error = bad.parse::<Levels>().unwrap_err();
        assert!(error.to_string().contains("TARGET=LEVEL"), "{error}");
    }
}
