"""Measured figures and their comparison with targets."""

from __future__ import annotations

import dataclasses
import enum


class Bound(enum.Enum):
    """Whether the target is an upper or a lower limit of the value."""

    AT_MOST = 'at most'
    AT_LEAST = 'at least'


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A figure with its unit, baseline and target.

    ``target`` is None for a figure that is only reported. ``baseline`` is
    the value of the alternative measured in the same run, or None.
    """

    name: str
    value: float
    unit: str
    baseline: float | None
    target: float | None
    bound: Bound
    seed: int
    command: str

    @property
    def met(self) -> bool | None:
        """Whether the target is met; None without a target."""
        if self.target is None:
            return None
        if self.bound is Bound.AT_MOST:
            return self.value <= self.target
        return self.value >= self.target


def at_most(
    module: str,
    seed: int,
    name: str,
    value: float,
    unit: str,
    baseline: float | None = None,
    target: float | None = None,
) -> Row:
    """Return a row of ``module`` whose value should not exceed ``target``."""
    return Row(
        name=name,
        value=value,
        unit=unit,
        baseline=baseline,
        target=target,
        bound=Bound.AT_MOST,
        seed=seed,
        command=f'python -m bench.run {module} --seed {seed}',
    )
