"""Runs whole nodes on a simulated clock, a simulated network and a fake platform."""
