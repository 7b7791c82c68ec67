"""Tests of :mod:`poplarlb.coordination.journal`."""
