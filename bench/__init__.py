"""Measurements of poplarlb."""
