"""Faults of network links and schedules that change them."""

from __future__ import annotations

import dataclasses
import random
from typing import NewType

# Name of a process: the value of Verbenastream-Sender, or ANY.
Party = NewType('Party', str)
ANY = Party('*')


@dataclasses.dataclass(frozen=True, slots=True)
class Faults:
    """Faults of one direction of a link.

    ``hold`` delays all bytes until the fault ends, like a silent partition
    that TCP retransmissions bridge; neither side is notified.
    ``close_after_bytes`` closes the connection in order after that many bytes,
    ``reset_after_bytes`` with a TCP reset. ``duplicate`` sends the same bytes
    over a second connection as well and discards its answer.
    """

    delay_s: float = 0.0
    jitter_s: float = 0.0
    bytes_per_s: float | None = None
    hold: bool = False
    close_after_bytes: int | None = None
    reset_after_bytes: int | None = None
    duplicate: bool = False


CLEAR = Faults()


@dataclasses.dataclass(frozen=True, slots=True)
class LinkFaults:
    """Faults of both directions: to the destination and back."""

    forward: Faults = CLEAR
    backward: Faults = CLEAR


HEALTHY = LinkFaults()
SILENT = LinkFaults(Faults(hold=True), Faults(hold=True))
LOST_REQUESTS = LinkFaults(forward=Faults(hold=True))
LOST_ANSWERS = LinkFaults(backward=Faults(hold=True))


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """Sets the faults of a link ``at_s`` seconds after the start."""

    at_s: float
    source: Party
    destination: Party
    faults: LinkFaults


class Links:
    """The current faults of each link; ``ANY`` matches every process.

    The most specific entry applies: source and destination, then only the
    source, then only the destination, then the default.
    """

    def __init__(self) -> None:
        self._faults_by_link: dict[tuple[Party, Party], LinkFaults] = {}

    def set(
        self, source: Party, destination: Party, faults: LinkFaults
    ) -> None:
        self._faults_by_link[source, destination] = faults

    def isolate(self, party: Party, faults: LinkFaults = SILENT) -> None:
        """Apply ``faults`` to every link from and to ``party``."""
        self.set(party, ANY, faults)
        self.set(ANY, party, faults)

    def heal(self) -> None:
        self._faults_by_link.clear()

    def between(self, source: Party, destination: Party) -> LinkFaults:
        for link in (
            (source, destination),
            (source, ANY),
            (ANY, destination),
            (ANY, ANY),
        ):
            faults = self._faults_by_link.get(link)
            if faults is not None:
                return faults
        return HEALTHY


def random_schedule(
    rng: random.Random,
    links: list[tuple[Party, Party]],
    duration_s: float,
    changes: int,
) -> list[Change]:
    """Return random changes; every link is healthy again at the end.

    Each fault lasts for a random part of the remaining time, so faults
    overlap.
    """
    schedule = []
    for _ in range(changes):
        source, destination = rng.choice(links)
        start = rng.uniform(0.0, duration_s * 0.8)
        end = rng.uniform(start, duration_s)
        schedule.append(
            Change(start, source, destination, _random_faults(rng))
        )
        schedule.append(Change(end, source, destination, HEALTHY))
    for source, destination in links:
        schedule.append(Change(duration_s, source, destination, HEALTHY))
    return sorted(schedule, key=lambda change: change.at_s)


def _random_faults(rng: random.Random) -> LinkFaults:
    return rng.choice(
        [
            SILENT,
            LOST_REQUESTS,
            LOST_ANSWERS,
            LinkFaults(
                Faults(delay_s=rng.uniform(0.0, 0.1), jitter_s=0.05),
                Faults(delay_s=rng.uniform(0.0, 0.1), jitter_s=0.05),
            ),
            LinkFaults(
                forward=Faults(close_after_bytes=rng.randrange(1, 2_000))
            ),
            LinkFaults(
                backward=Faults(reset_after_bytes=rng.randrange(1, 2_000))
            ),
            LinkFaults(forward=Faults(bytes_per_s=20_000.0)),
            LinkFaults(forward=Faults(duplicate=True)),
        ]
    )
