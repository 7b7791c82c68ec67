"""Tests of :mod:`poplarlb.coordination.configuration`."""
