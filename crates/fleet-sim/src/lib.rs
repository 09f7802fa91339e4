//! Deterministic simulation of the membership protocol and of the quorum, without sockets: seeded, and fast enough for
//! thousands of schedules a minute. `world` simulates members, network and faults; `schedule` draws random faults;
//! `quorum` does both for voters and their disks; `measure` compares the membership protocol with the simpler failure
//! detectors in `baselines` and with the `foca` crate's SWIM in `foca_swim`.

pub mod baselines;
pub mod foca_swim;
pub mod measure;
pub mod quorum;
pub mod schedule;
pub mod world;
