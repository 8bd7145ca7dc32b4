"""Benchmarks. CI does not depend on their results."""
