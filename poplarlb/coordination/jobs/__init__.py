"""Decisions on jobs of steps: when a task starts, where, and what its end means.

:mod:`dispatcher` is the facade; the daemon that owns the jobs calls it as
``handle(event, now_ms)`` and carries out the commands that it returns.
"""
