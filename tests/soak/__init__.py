"""Randomized soak tests: real daemon processes, injected faults, checked invariants.

``python -m tests.soak FIRST COUNT [PARALLEL]`` runs COUNT seeds from FIRST on; a failed
seed keeps its logs.
"""
