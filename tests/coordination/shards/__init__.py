"""Tests of :mod:`poplarlb.coordination.shards`."""
