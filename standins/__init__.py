"""Fake backend servers and a simulated network for tests and benchmarks."""
