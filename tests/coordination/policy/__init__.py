"""Tests of :mod:`poplarlb.coordination.policy`."""
