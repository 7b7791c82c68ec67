"""Benchmarks of poplarlb."""
