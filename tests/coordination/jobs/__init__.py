"""Tests of the job decisions."""
