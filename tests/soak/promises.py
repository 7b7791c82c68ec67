"""Checks the platform's promises from what workers and submitters see."""

from collections import defaultdict

from attrs import Factory, define

from poplarlb.state.jobs import RunEnd, parse_task_name
from poplarlb.state.models import Resources
from tests.standins.users_platform import WorkerService

STABLE_S = 3.0  # rules with a time bound hold when nothing was disturbed for this long
EVACUATE_S = 5.0
DRAIN_S = 2.0


@define
class SubmittedJob:
    """A job as its submitter knows it."""

    job_id: str
    steps: list[dict]
    answers: list[int] = Factory(list)  # of all attempts; 0 for none
    cancelled: bool = False  # a cancel was sent
    seen: str = ""  # the last state that was told

    @property
    def accepted(self) -> bool:
        """Tell whether the job was acknowledged."""
        return 200 in self.answers

    @property
    def refused(self) -> bool:
        """Tell whether every attempt was told that the job never runs."""
        return bool(self.answers) and set(self.answers) <= {429, 503}

    def tasks(self) -> set[str]:
        """Return the names of the job's tasks."""
        return {
            f"{self.job_id}.0.{number}.{index}"
            for number, step in enumerate(self.steps)
            for index in range(step["count"])
        }


@define(eq=False)
class Promises:
    """Watches workers; ``broken`` tells what was not kept."""

    workers: WorkerService
    jobs: dict[str, SubmittedJob] = Factory(dict)
    disturbed_s: float = 0.0  # when the last disturbance ended
    zones_out: dict[str, float] = Factory(dict)  # since when
    draining: dict[str, float] = Factory(dict)
    broken: list[str] = Factory(list)
    known: set[tuple] = Factory(set)
    done: set[str] = Factory(set)  # tasks that have ended done
    doubtful: dict[tuple[str, int], str] = Factory(dict)  # an end, and a start after it

    def check(self, now_s: float) -> None:
        """Check what must hold at any time."""
        for worker in self.workers.workers.values():
            self.done.update(row.task for row in worker.ends if row.how is RunEnd.DONE)
            self.done.update(task for task, _ in worker.noted)
        places = defaultdict(list)
        for worker in self.workers.workers.values():
            if not worker.alive:
                continue
            used = Resources()
            for task, run in worker.runs:
                places[task].append(worker.worker_id)
                used = used.plus(self._size(task))
                key = (worker.worker_id, worker.life, task, run)
                if key not in self.known:
                    self.known.add(key)
                    self._check_start(worker, task, now_s)
            if not used.fits_in(worker.capacity):
                self._break(f"LIMIT: {worker.worker_id} is over its room")
        for task, where in places.items():
            if len(where) > 1:
                self._break(f"TWICE: {task} runs at {sorted(where)}")
        for worker in self.workers.workers.values():
            # An end that a lapse of the lease preceded binds nobody.
            for end in (worker.noted - worker.lapsed) & self.doubtful.keys():
                self._break(f"TWICE: {self.doubtful.pop(end)} after a noted end")

    def _size(self, task: str) -> Resources:
        job_id, _, step, _ = parse_task_name(task)
        row = self.jobs[job_id].steps[step] if job_id in self.jobs else {}
        return Resources(row.get("cpu", 0), row.get("memMb", 0), 0)

    def _check_start(self, worker, task: str, now_s: float) -> None:
        job_id, _, step, _ = parse_task_name(task)
        job = self.jobs.get(job_id)
        if job is None:
            self._break(f"UNASKED: {task}")
            return
        for other in self.workers.workers.values():
            if any(name == task for name, _ in other.noted):
                self._break(f"TWICE: {task} started after its noted end")
            for row in other.ends:
                if row.task == task and row.how is RunEnd.DONE:
                    self.doubtful[(task, row.run)] = f"{task} at {worker.worker_id}"
        for earlier in job.steps[step].get("after", ()):
            names = {name for name in job.tasks() if f".0.{earlier}." in name}
            if not names <= self.done:
                self._break(f"ORDER: {task} before step {earlier}")
        if now_s - self.disturbed_s < STABLE_S:
            return
        out_s = self.zones_out.get(worker.zone)
        if out_s is not None and now_s - out_s > EVACUATE_S:
            self._break(f"EVAC: {task} in {worker.zone}")
        drain_s = self.draining.get(worker.worker_id)
        if drain_s is not None and now_s - drain_s > DRAIN_S:
            self._break(f"DRAIN: {task} at {worker.worker_id}")

    def check_told(self, job: SubmittedJob, state: str, now_s: float) -> None:
        """Check a state that a submitter was told."""
        job.seen = state
        self.check(now_s)
        if state == "done" and not job.tasks() <= self.done:
            self._break(f"MIXED: {job.job_id} shown as done")
        calm = now_s - self.disturbed_s >= STABLE_S
        if state == "410" and job.accepted and calm:
            self._break(f"LOST: {job.job_id} is not known")
        if state == "cancelled" and not job.cancelled:
            self._break(f"LOST: {job.job_id} shown as cancelled")

    def check_end(self) -> None:
        """Check what must hold once everything has been calm for long."""
        for job in self.jobs.values():
            started = any(name in self._started() for name in job.tasks())
            if job.refused and started:
                self._break(f"REFUSED: {job.job_id} {job.answers}")
            if job.accepted and not job.cancelled and job.seen != "done":
                self._break(f"LOST: {job.job_id} is {job.seen!r} at the end")

    def _started(self) -> set[str]:
        return {task for _, _, task, _ in self.known}

    def _break(self, what: str) -> None:
        if what not in self.broken:
            self.broken.append(what)
