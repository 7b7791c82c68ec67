"""Learns how much filling tasks lengthen the tails of serving tasks beside them.

A tail behaves as that of a queue: with the pressure ``p`` on a serving task, from 0 to
1, its tail is ``idle tail / (1 - p)``. The pressure is the task's own load, which
swings within seconds, and a share for each filling image beside it. Tasks of one image
behave alike, so the share is learned for each pair of images.
"""

from collections.abc import Mapping

import orjson
from attrs import Factory, define

from poplarlb.exceptions import BadAnswerError

IDLE_RATIO = 0.22  # of a tail without pressure to its target, measured on both sites
USUAL_LOAD = 0.45  # pressure of a serving task's own load, measured on both sites
UNKNOWN_PRESS = 0.6  # of pairs not seen yet; most pairs are harmless
LARGEST_PRESS = 3.0
LARGEST_PRESSURE = 0.95  # beyond it a queue has built up and tells no more
PRESS_RATE = 0.2  # a pair is known after some ten figures
LOAD_RATE = 0.4  # of a figure that no filling task disturbs; follows swings of 10 s
DISTURBED = 0.1  # pressure of others at which a figure tells half as much of the load
LEAST_POWER = 0.004  # keeps the step finite while little is used

StepKey = tuple[str, int, int]  # job, occurrence, step
Mix = Mapping[str, float]  # share of a worker's processors used, by filling image


def pressure_of(ratio: float) -> float:
    """Return the pressure that a tail tells of, given as a share of its target."""
    if ratio <= IDLE_RATIO:
        return 0.0
    return min(1.0 - IDLE_RATIO / ratio, LARGEST_PRESSURE)


@define(eq=False)
class HarmModel:
    """What has been learned of every pair of images."""

    presses: dict[str, dict[str, float]] = Factory(dict)  # by serving image
    loads: dict[StepKey, float] = Factory(dict)  # tasks of a step share their load

    def press(self, serving: str, filling: str) -> float:
        """Return the pressure of a whole worker of one image on another."""
        return self.presses.get(serving, {}).get(filling, UNKNOWN_PRESS)

    def pressure(self, serving: str, mix: Mix) -> float:
        """Return the pressure of a mix on a serving image."""
        return sum(self.press(serving, image) * share for image, share in mix.items())

    def load(self, step: StepKey) -> float:
        """Return the pressure of a serving step's own load."""
        return self.loads.get(step, USUAL_LOAD)

    def learn(self, step: StepKey, serving: str, pressure: float, mix: Mix) -> None:
        """Learn from the figure of one task of a step."""
        load = self.load(step)
        others = self.pressure(serving, mix)
        error = pressure - load - others
        rate = LOAD_RATE / (1.0 + others / DISTURBED)
        self.loads[step] = min(max(load + rate * error, 0.0), LARGEST_PRESSURE)
        if not mix or pressure >= LARGEST_PRESSURE:
            return
        power = LEAST_POWER + sum(share * share for share in mix.values())
        known = self.presses.setdefault(serving, {})
        for image, share in mix.items():
            step_size = PRESS_RATE * error * share / power
            press = known.get(image, UNKNOWN_PRESS) + step_size
            known[image] = min(max(press, 0.0), LARGEST_PRESS)

    def encode(self) -> bytes:
        """Return what was learned of pairs, for the next owner."""
        rows = {
            serving: {image: round(press, 2) for image, press in known.items()}
            for serving, known in self.presses.items()
        }
        return orjson.dumps(rows)

    def restore(self, value: bytes) -> None:
        """Take in what an earlier owner learned.

        :raises BadAnswerError: the record is not one of ours.
        """
        try:
            self.presses = {
                str(serving): {
                    str(image): min(max(float(press), 0.0), LARGEST_PRESS)
                    for image, press in known.items()
                }
                for serving, known in orjson.loads(value).items()
            }
        except (ValueError, TypeError, AttributeError) as error:
            raise BadAnswerError(f"a record of learned pairs: {error}") from error

    def forget(self, job_id: str) -> None:
        """Drop the loads of a job that is over."""
        for step in [step for step in self.loads if step[0] == job_id]:
            del self.loads[step]
