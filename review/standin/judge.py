"""Reads the rules off a case's record."""


def list_runs(events):
    """Return each run as worker, task, number, begin, end and how it ended.

    The end is None, and how is empty, for a run that was still active.
    """
    active, runs = {}, []
    for row in events:
        match row["event"]:
            case "started":
                active[row["worker"], row["task"], row["run"]] = row["at_s"]
            case "ended":
                key = row["worker"], row["task"], row["run"]
                runs.append((*key, active.pop(key), row["at_s"], row["how"]))
            case "worker_crashed":
                for key in [key for key in active if key[0] == row["worker"]]:
                    runs.append((*key, active.pop(key), row["at_s"], "crashed"))
    runs += [(*key, begin_s, None, "") for key, begin_s in active.items()]
    return sorted(runs, key=lambda run: run[3])


def find_overlaps(events, tolerance_s=0.05):
    """Return a text for each two runs of one task that were active at once."""
    runs = list_runs(events)
    last_s = events[-1]["at_s"]
    found = []
    for number, first in enumerate(runs):
        for second in runs[number + 1 :]:
            if first[1] != second[1]:
                continue
            both_s = min(first[4] or last_s, second[4] or last_s) - second[3]
            where = f"run {first[2]} at {first[0]} and run {second[2]} at {second[0]}"
            if both_s > tolerance_s:
                found.append(
                    f"TWICE: {first[1]}, {where}, overlapped for {both_s:.2f} s"
                )
    return found


def find_gaps(events, job_id, since_s, until_s):
    """Return the times, as begin and end, in which nothing of a job was active."""
    gaps, covered_s = [], since_s
    for run in list_runs(events):
        if not run[1].startswith(job_id):
            continue
        if run[3] > covered_s:
            gaps.append((covered_s, run[3]))
        covered_s = max(covered_s, run[4] or until_s)
    if until_s > covered_s:
        gaps.append((covered_s, until_s))
    return gaps
