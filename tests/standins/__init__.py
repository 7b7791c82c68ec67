"""Fakes of the platform and its store, for tests, the demo and benchmarks."""
