"""Benchmarks; their output is the tables in docs/MEASUREMENTS.md."""
