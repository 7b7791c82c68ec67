"""Tests of :mod:`poplarlb.coordination.requests`."""
