//! Levels, and the bound on lines of one call site.

use super::*;

#[test]
fn a_site_that_repeats_itself_is_limited_and_another_is_not() {
    let site = || tracing::debug_span!("one").metadata().map(tracing::Metadata::callsite);
    let other = || tracing::debug_span!("two").metadata().map(tracing::Metadata::callsite);
    tracing::subscriber::with_default(tracing_subscriber::registry(), || {
        let (one, two) = (site().unwrap(), other().unwrap());
        let (limit, now) = (Limit::default(), Instant::now());
        let passed = (0..200).filter(|_| limit.passes(one.clone(), now)).count();
        assert_eq!(passed, LINES_A_SITE as usize);
        assert!(limit.passes(two, now));
        assert!(limit.passes(one, now + PERIOD));
    });
}

/// A flood of one line is cut short, and the next line of another place is written all the same.
#[test]
fn what_is_said_after_a_flood_is_written() {
    #[derive(Clone, Default)]
    struct Written(std::sync::Arc<Mutex<Vec<u8>>>);
    impl io::Write for Written {
        fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
            self.0.lock().unwrap().extend_from_slice(bytes);
            Ok(bytes.len())
        }

        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }
    let written = Written::default();
    let writer = written.clone();
    let lines = tracing_subscriber::fmt::layer().with_ansi(false).with_writer(move || writer.clone());
    let stack = tracing_subscriber::registry().with(lines).with(Limit::default());
    tracing::subscriber::with_default(stack, || {
        for n in 0..200 {
            tracing::info!(n, "flood");
        }
        tracing::info!("after it");
    });
    let text = String::from_utf8(written.0.lock().unwrap().clone()).unwrap();
    assert_eq!(text.matches("flood").count(), LINES_A_SITE as usize);
    assert!(text.contains("after it"));
}

#[test]
fn a_level_that_is_none_is_refused_with_what_to_write() {
    assert!("info,call=debug".parse::<Levels>().is_ok());
    for bad in ["loud", "info,call=loud", "inof"] {
        let said = bad.parse::<Levels>().unwrap_err();
        assert!(said.to_string().contains("TARGET=LEVEL"), "{said}");
    }
}
