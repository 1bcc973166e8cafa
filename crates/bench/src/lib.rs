//! Harness shared by the experiments under `benches/`.
