"""Paces filling tasks by the tails of the serving tasks beside them."""

from attrs import define

from poplarlb.coordination.jobs.book import Book
from poplarlb.coordination.jobs.events import PaceRun
from poplarlb.coordination.jobs.fleet import Run, RunPhase, WorkerState
from poplarlb.coordination.jobs.harm import pressure_of

PRESSURE_GOAL = 0.74  # a tail meets its target at 0.78; figures lag half a second
FULL_PACE = 100
ALARMING_RATIO = (
    0.9  # of a tail to its target: its own figure goes before what is known
)
HOPELESS_LOAD = 0.82  # over its target by its own load alone, whatever fills beside it
PACE_STEP = 10  # percent; smaller changes aren't worth a call
OVER_SHARE = 0.3  # of the longest time that a serving task may be over its target
CRAWL = 30  # percent
CRAWL_MS = 800  # a run that crawls for longer is better placed elsewhere
HARMLESS = 0.02  # pressure that isn't worth a pace
FIGURE_MS = 500  # figures cover half a second
LEARN_PERIOD_MS = 400  # a figure is learned from once
PACE_PERIOD_MS = 450  # a figure is acted on once


@define(eq=False)
class Pacer:
    """Learns from each answer of a worker, and paces its filling runs by it."""

    book: Book

    def pace(self, worker: WorkerState) -> None:
        """Slow down what harms a serving task that is near its target."""
        if not worker.serving:
            self._release(worker)
            return
        serving = [
            run
            for run in worker.runs.values()
            if run.task.spec.target_ms and self._settled(run) and run.figure > 0
        ]
        filling = [
            run
            for run in worker.runs.values()
            if run.task.spec.fills and run.phase is RunPhase.RUNNING
        ]
        mix = self._recent_mix(worker, filling)
        self._learn(serving, mix)
        if filling and self.book.now_ms - worker.paced_ms >= PACE_PERIOD_MS:
            worker.paced_ms = self.book.now_ms
            self._set_paces(worker, serving, filling, mix)

    def _settled(self, run: Run) -> bool:
        age_ms = self.book.now_ms - run.confirmed_ms
        return run.phase is RunPhase.RUNNING and age_ms >= FIGURE_MS

    def _learn(self, serving: list[Run], mix: dict[str, float]) -> None:
        harm = self.book.harm
        for run in serving:
            if self.book.now_ms - run.learned_ms < LEARN_PERIOD_MS:
                continue
            run.learned_ms = self.book.now_ms
            spec = run.task.spec
            pressure = pressure_of(run.figure / spec.target_ms)
            harm.learn(run.task.step_key, spec.image, pressure, mix)

    def _recent_mix(self, worker: WorkerState, filling: list[Run]) -> dict[str, float]:
        """Return the share of the processors by image, over the figures' time."""
        now_ms = self.book.now_ms
        capacity = max(worker.listing.capacity.cpu_millis, 1)
        mix: dict[str, float] = {}
        for run in filling:
            spec = run.task.spec
            part = min(now_ms - run.confirmed_ms, FIGURE_MS) / FIGURE_MS
            used = run.figure or spec.size.cpu_millis * run.pace / FULL_PACE
            mix[spec.image] = mix.get(spec.image, 0.0) + part * used / capacity
        worker.left = [item for item in worker.left if now_ms - item[2] < FIGURE_MS]
        for image, used, ended_ms in worker.left:
            part = 1.0 - (now_ms - ended_ms) / FIGURE_MS
            mix[image] = mix.get(image, 0.0) + part * used / capacity
        return mix

    def _set_paces(
        self,
        worker: WorkerState,
        serving: list[Run],
        filling: list[Run],
        mix: dict[str, float],
    ) -> None:
        """Scale what the filling runs may do so that every tail meets its target.

        :param mix: what the filling runs used while the figures were taken.
        """
        harm = self.book.harm
        capacity = max(worker.listing.capacity.cpu_millis, 1)
        shares = {run: run.task.spec.size.cpu_millis / capacity for run in filling}
        for run in filling:
            run.wanted_pace = FULL_PACE
        for other in serving:
            spec = other.task.spec
            presses = {
                run: harm.press(spec.image, run.task.spec.image) * share
                for run, share in shares.items()
            }
            full = sum(presses.values())
            if self._is_over_for_long(other):
                # Whatever was learned, nothing that fills works beside it now.
                for run in filling:
                    run.wanted_pace = 0
                break
            load = harm.load(other.task.step_key)
            if not full or load >= HOPELESS_LOAD:
                continue
            ratio = other.figure / spec.target_ms
            if ratio > ALARMING_RATIO:
                load = max(load, pressure_of(ratio) - harm.pressure(spec.image, mix))
            if load + full <= PRESSURE_GOAL:
                continue
            scale = (PRESSURE_GOAL - load) / full
            pace = int(min(max(scale, 0.0), 1.0) * FULL_PACE) // PACE_STEP * PACE_STEP
            for run, press in presses.items():
                if press <= HARMLESS:
                    continue
                # Nothing speeds up beside a tail that is over its target.
                limit = min(pace, run.pace) if ratio >= 1.0 else pace
                run.wanted_pace = min(run.wanted_pace, limit)
        for run in filling:
            self._set_pace(worker, run)

    def _is_over_for_long(self, run: Run) -> bool:
        if run.figure < run.task.spec.target_ms:
            run.over_ms = 0
            return False
        run.over_ms = run.over_ms or self.book.now_ms
        return self.book.now_ms - run.over_ms >= self.book.policy.harm_ms * OVER_SHARE

    def _set_pace(self, worker: WorkerState, run: Run) -> None:
        now_ms = self.book.now_ms
        if run.wanted_pace >= CRAWL:
            run.paced_ms = 0
        elif not run.paced_ms:
            run.paced_ms = now_ms
        run.pace = run.wanted_pace
        if run.stopping:
            return
        if run.paced_ms and now_ms - run.paced_ms > CRAWL_MS:
            run.stopping = "harms a serving task"
        elif run.pace != run.pace_sent:
            self._send(worker, run)

    def _release(self, worker: WorkerState) -> None:
        """Let filling runs work at full pace where nothing serves any more."""
        for run in worker.runs.values():
            if run.pace_sent != FULL_PACE and not run.stopping:
                run.pace = FULL_PACE
                self._send(worker, run)

    def _send(self, worker: WorkerState, run: Run) -> None:
        self.book.note_task(
            "run_paced",
            run.task,
            run.number,
            worker=worker.worker_id,
            percent=run.pace,
        )
        run.pace_sent = run.pace
        self.book.commands.append(
            PaceRun(
                worker.worker_id,
                worker.listing.address,
                run.task.name,
                run.number,
                run.pace,
                self.book.epoch,
            )
        )
