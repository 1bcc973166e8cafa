//! Service-level burn, tables and plots.
