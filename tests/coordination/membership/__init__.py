"""Tests of :mod:`poplarlb.coordination.membership`."""
