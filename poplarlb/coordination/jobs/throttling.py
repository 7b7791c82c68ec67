"""Throttles best-effort runs so that serving tasks beside them meet latency targets.

Best-effort runs are those of steps with ``fills``; serving tasks have a ``target_ms``
for their tail latency. A serving task's margin is its target divided by its tail
latency, modelled as the task's own margin less the interference of the best-effort
runs (see :mod:`interference`).
"""

from attrs import define

from poplarlb.coordination.jobs.dispatcher_state import DispatcherState
from poplarlb.coordination.jobs.events import ThrottleRun
from poplarlb.coordination.jobs.fleet import (
    UNKNOWN_THROTTLE,
    Run,
    RunPhase,
    WorkerState,
)
from poplarlb.coordination.jobs.interference import margin_of

# Targets are met down to 1; measurements lag half a second.
MARGIN_GOAL = 1.18
UNTHROTTLED_PERCENT = 100
# Below it the measured margin counts if it is lower than the learned one.
MEASURED_MARGIN = 1.1
# Below it a serving task misses its target even without best-effort runs.
MIN_RELIEVABLE_MARGIN = 0.82
THROTTLE_STEP_PERCENT = 10  # smaller changes aren't worth a call
# A serving task may be over its target for ``harm_ms`` at most; after this share of
# that time the best-effort runs beside it are throttled to 0.
FULL_THROTTLE_HARM_SHARE = 0.3
LOW_THROTTLE_PERCENT = 30
# A run throttled below LOW_THROTTLE_PERCENT for longer is stopped, to run elsewhere.
LOW_THROTTLE_MS = 800
# The most for a run placed as a last resort beside serving tasks, so that it leaves
# headroom to others.
LAST_RESORT_PERCENT = 40
# LOW_THROTTLE_MS for a run placed as a last resort, which other workers refuse as well.
LAST_RESORT_LOW_THROTTLE_MS = 10_000
# A run that takes no more off a serving task's margin isn't throttled for it.
NEGLIGIBLE_INTERFERENCE = 0.09
MEASUREMENT_MS = 500  # measurements cover half a second
# Until the next throttles are in force: half a measurement, a period between
# throttles and the time until a worker obeys.
THROTTLE_AHEAD_MS = 800
LEARN_PERIOD_MS = 400  # so that each measurement is learned from once
THROTTLE_PERIOD_MS = 450  # so that throttles are set once for each measurement


@define(eq=False)
class Throttler:
    """Learns from each poll of a worker, and throttles its best-effort runs."""

    state: DispatcherState

    def update(self, worker: WorkerState) -> None:
        """Learn from a worker's measurements and set its throttles."""
        if not worker.serving_runs:
            self._lift_throttles(worker)
            return
        serving, best_effort = self._list_runs(worker)
        mix = self._recent_mix(worker, best_effort)
        self._learn(serving, mix)
        if (
            best_effort
            and self.state.now_ms - worker.throttled_ms >= THROTTLE_PERIOD_MS
        ):
            worker.throttled_ms = self.state.now_ms
            self._set_throttles(worker, serving, best_effort, mix)

    def limit_new(self, worker: WorkerState) -> None:
        """Set the throttles as soon as a run has begun that may interfere."""
        if not worker.serving_runs:
            return
        serving, best_effort = self._list_runs(worker)
        mix = self._recent_mix(worker, best_effort)
        self._set_throttles(worker, serving, best_effort, mix)

    def forget_sent(self, worker: WorkerState) -> None:
        """Have the throttles sent again to a worker that has restarted.

        The runs that it has begun again are not throttled.
        """
        for run in worker.runs.values():
            if run.task.spec.fills and run.phase is RunPhase.RUNNING:
                run.sent_throttle_percent = UNKNOWN_THROTTLE

    def _list_runs(self, worker: WorkerState) -> tuple[list[Run], list[Run]]:
        """Return the measured serving runs and the best-effort runs of a worker."""
        runs = worker.runs.values()
        serving = [
            run
            for run in runs
            if run.task.spec.target_ms
            and self._is_measured(run)
            and run.measurement > 0
        ]
        best_effort = [
            run for run in runs if run.task.spec.fills and run.phase is RunPhase.RUNNING
        ]
        return serving, best_effort

    def _is_measured(self, run: Run) -> bool:
        age_ms = self.state.now_ms - run.confirmed_ms
        return run.phase is RunPhase.RUNNING and age_ms >= MEASUREMENT_MS

    def _learn(self, serving: list[Run], mix: dict[str, float]) -> None:
        model = self.state.interference
        for run in serving:
            if self.state.now_ms - run.learned_ms < LEARN_PERIOD_MS:
                continue
            run.learned_ms = self.state.now_ms
            spec = run.task.spec
            margin = margin_of(run.measurement, spec.target_ms)
            model.learn(run.task.step_key, spec.image, margin, mix, self.state.now_ms)

    def _recent_mix(
        self, worker: WorkerState, best_effort: list[Run]
    ) -> dict[str, float]:
        """Return the share of processors by best-effort image in the measured time.

        The measured time is the last ``MEASUREMENT_MS``.
        """
        now_ms = self.state.now_ms
        capacity = max(worker.listing.capacity.cpu_millis, 1)
        mix: dict[str, float] = {}
        for run in best_effort:
            spec = run.task.spec
            part = min(now_ms - run.confirmed_ms, MEASUREMENT_MS) / MEASUREMENT_MS
            used = run.measurement or (
                spec.size.cpu_millis * run.throttle_percent / UNTHROTTLED_PERCENT
            )
            mix[spec.image] = mix.get(spec.image, 0.0) + part * used / capacity
        worker.recently_ended = [
            item for item in worker.recently_ended if now_ms - item[2] < MEASUREMENT_MS
        ]
        for image, used, ended_ms in worker.recently_ended:
            part = 1.0 - (now_ms - ended_ms) / MEASUREMENT_MS
            mix[image] = mix.get(image, 0.0) + part * used / capacity
        return mix

    def _set_throttles(
        self,
        worker: WorkerState,
        serving: list[Run],
        best_effort: list[Run],
        mix: dict[str, float],
    ) -> None:
        """Throttle best-effort runs so that serving tasks meet their targets.

        A serving task that would miss its target even alone is disregarded until it has
        been over the target for too long.

        :param mix: share of processors that each best-effort image used meanwhile.
        """
        model = self.state.interference
        capacity = max(worker.listing.capacity.cpu_millis, 1)
        shares = {run: run.task.spec.size.cpu_millis / capacity for run in best_effort}
        for run in best_effort:
            run.wanted_throttle_percent = (
                LAST_RESORT_PERCENT if run.last_resort else UNTHROTTLED_PERCENT
            )
        for other in serving:
            spec = other.task.spec
            interference = {
                run: model.slope(spec.image, run.task.spec.image) * share
                for run, share in shares.items()
            }
            unthrottled = sum(interference.values())
            if self._violates_for_long(other):
                # Whatever was learned, no best-effort run may go on beside it now.
                for run in best_effort:
                    run.wanted_throttle_percent = 0
                break
            own = model.lowest_margin(
                other.task.step_key, THROTTLE_AHEAD_MS, self.state.now_ms
            )
            if not unthrottled or own <= MIN_RELIEVABLE_MARGIN:
                continue
            measured = margin_of(other.measurement, spec.target_ms)
            if measured < MEASURED_MARGIN:
                own = min(own, measured + model.interference(spec.image, mix))
            excess = MARGIN_GOAL - own + unthrottled
            # Those that interfere most are throttled first, so least work is lost.
            order = sorted(
                interference,
                key=lambda run: (run.last_resort, interference[run]),
                reverse=True,
            )
            for run in order:
                added = interference[run]
                if excess <= 0:
                    break
                if added <= NEGLIGIBLE_INTERFERENCE:
                    continue
                percent = (
                    int(max(1 - excess / added, 0.0) * UNTHROTTLED_PERCENT)
                    // THROTTLE_STEP_PERCENT
                    * THROTTLE_STEP_PERCENT
                )
                excess -= added
                # No throttle is eased while a serving task is over its target.
                limit = (
                    min(percent, run.throttle_percent) if measured <= 1.0 else percent
                )
                run.wanted_throttle_percent = min(run.wanted_throttle_percent, limit)
        for run in best_effort:
            self._set_throttle(worker, run)

    def _violates_for_long(self, run: Run) -> bool:
        """Return whether a serving task has been over its target for too long."""
        if run.measurement < run.task.spec.target_ms:
            run.over_target_since_ms = 0
            return False
        run.over_target_since_ms = run.over_target_since_ms or self.state.now_ms
        return (
            self.state.now_ms - run.over_target_since_ms
            >= self.state.policy.harm_ms * FULL_THROTTLE_HARM_SHARE
        )

    def _set_throttle(self, worker: WorkerState, run: Run) -> None:
        """Send a run's wanted throttle, or stop the run if it was low for too long."""
        now_ms = self.state.now_ms
        if run.wanted_throttle_percent >= LOW_THROTTLE_PERCENT:
            run.low_throttle_since_ms = 0
        elif not run.low_throttle_since_ms:
            run.low_throttle_since_ms = now_ms
        run.throttle_percent = run.wanted_throttle_percent
        lost_percent = UNTHROTTLED_PERCENT - run.throttle_percent
        run.task.throttled_ms += THROTTLE_PERIOD_MS * lost_percent / UNTHROTTLED_PERCENT
        if run.stopping:
            return
        limit_ms = LAST_RESORT_LOW_THROTTLE_MS if run.last_resort else LOW_THROTTLE_MS
        if run.low_throttle_since_ms and now_ms - run.low_throttle_since_ms > limit_ms:
            self.state.stop(run, "harms a serving task")
        elif run.throttle_percent != run.sent_throttle_percent:
            self._send(worker, run)

    def _lift_throttles(self, worker: WorkerState) -> None:
        """Lift all throttles at a worker without serving tasks."""
        for run in worker.runs.values():
            if run.sent_throttle_percent != UNTHROTTLED_PERCENT and not run.stopping:
                run.throttle_percent = UNTHROTTLED_PERCENT
                self._send(worker, run)

    def _send(self, worker: WorkerState, run: Run) -> None:
        self.state.log_task(
            "run_paced",
            run.task,
            run.number,
            worker=worker.worker_id,
            percent=run.throttle_percent,
        )
        run.sent_throttle_percent = run.throttle_percent
        self.state.commands.append(
            ThrottleRun(
                worker.worker_id,
                worker.listing.address,
                run.task.name,
                run.number,
                run.throttle_percent,
                self.state.epoch,
            )
        )
