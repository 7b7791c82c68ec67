"""Tests of poplarlb, in the same folders as the modules that they test."""
