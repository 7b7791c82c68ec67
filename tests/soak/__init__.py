"""A randomized soak: real daemon processes, faults from outside, promises checked.

``python -m tests.soak FIRST COUNT [PARALLEL]`` runs seeds; a failed one keeps its logs.
"""
