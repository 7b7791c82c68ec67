"""Tests of :mod:`poplarlb.coordination.jobs`."""
