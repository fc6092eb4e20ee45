"""Checks a run against the records of its callers and targets."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from verbenastream_testing import caller_ledger
from verbenastream_testing import run_ledger

if TYPE_CHECKING:
    from collections.abc import Iterable

_Outcome = caller_ledger.AttemptOutcome


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """Counts of attempts by outcome, and the tags of each violation.

    ``unknown`` is no violation: the answer or a broken connection told the
    caller that the outcome is unknown. ``lost`` are attempts without any
    outcome and answers to work that no target ran; ``run_twice`` is work that
    may run once but started again; ``false_not_run`` are attempts that ran
    although the caller was told otherwise; ``mixed_up`` are responses that are
    incomplete or belong to other work; ``overrun`` are starts above the slots
    of a target; ``two_pools`` are runs beside a run of another pool on the
    same target. ``unfinished`` runs have no recorded end, which is no
    violation either.
    """

    sent: int
    answered: int
    not_run: int
    unknown: int
    not_sent: int
    lost: tuple[str, ...]
    run_twice: tuple[str, ...]
    false_not_run: tuple[str, ...]
    mixed_up: tuple[str, ...]
    overrun: tuple[str, ...]
    two_pools: tuple[str, ...]
    unfinished: tuple[str, ...]

    @property
    def passed(self) -> bool:
        return not (
            self.lost
            or self.run_twice
            or self.false_not_run
            or self.mixed_up
            or self.overrun
            or self.two_pools
        )

    def lines(self) -> list[str]:
        """Return one line of text per count."""
        lines = []
        for field in dataclasses.fields(self):
            value = getattr(self, field.name)
            name = field.name.replace('_', ' ')
            if isinstance(value, int):
                lines.append(f'{name}: {value}')
                continue
            examples = ', '.join(value[:3])
            lines.append(
                f'{name}: {len(value)}' + (f' ({examples})' * bool(examples))
            )
        return lines


def evaluate(
    callers: caller_ledger.CallerLedger,
    runs: Iterable[run_ledger.RunEvent],
    slots: int = 8,
) -> Verdict:
    """Return the verdict on all attempts of ``callers``.

    ``runs`` are the events of all targets. Work that is not idempotent or has
    a key may start only once over all its attempts; other work may start
    again.
    """
    runs = list(runs)
    starts_by_tag: collections.Counter[str] = collections.Counter()
    ends_by_tag: collections.Counter[str] = collections.Counter()
    overrun = []
    for event in runs:
        match event.kind:
            case run_ledger.RunEventKind.START:
                starts_by_tag[event.tag] += 1
                if event.running > slots:
                    overrun.append(f'{event.instance}:{event.tag}')
            case run_ledger.RunEventKind.END:
                ends_by_tag[event.tag] += 1
    outcomes = collections.Counter(
        answer.outcome for answer in callers.answers_by_tag.values()
    )
    return Verdict(
        sent=len(callers.sent_by_tag),
        answered=outcomes[_Outcome.RAN],
        not_run=outcomes[_Outcome.NOT_RUN],
        unknown=outcomes[_Outcome.UNKNOWN],
        not_sent=outcomes[_Outcome.NOT_SENT],
        lost=tuple(_lost(callers, starts_by_tag)),
        run_twice=tuple(_run_twice(callers, starts_by_tag)),
        false_not_run=tuple(_false_not_run(callers, starts_by_tag)),
        mixed_up=tuple(
            answer.tag
            for answer in callers.answers_by_tag.values()
            if not answer.intact
        ),
        overrun=tuple(overrun),
        two_pools=tuple(_two_pools(runs)),
        unfinished=tuple(starts_by_tag - ends_by_tag),
    )


def _starts_by_work(
    callers: caller_ledger.CallerLedger,
    starts_by_tag: collections.Counter[str],
) -> collections.Counter[str]:
    starts: collections.Counter[str] = collections.Counter()
    for sent in callers.sent_by_tag.values():
        starts[sent.work] += starts_by_tag[sent.tag]
    return starts


def _lost(
    callers: caller_ledger.CallerLedger,
    starts_by_tag: collections.Counter[str],
) -> list[str]:
    starts_by_work = _starts_by_work(callers, starts_by_tag)
    lost = []
    for tag, sent in callers.sent_by_tag.items():
        answer = callers.answers_by_tag.get(tag)
        if answer is None:
            lost.append(tag)
        elif (
            answer.outcome is _Outcome.RAN
            and answer.status is not None
            and answer.status < 300
            and starts_by_work[sent.work] == 0
        ):
            lost.append(tag)
    return lost


def _run_twice(
    callers: caller_ledger.CallerLedger,
    starts_by_tag: collections.Counter[str],
) -> list[str]:
    starts_by_work = _starts_by_work(callers, starts_by_tag)
    at_most_once = {
        sent.work
        for sent in callers.sent_by_tag.values()
        if sent.key is not None or not sent.idempotent
    }
    return [work for work in sorted(at_most_once) if starts_by_work[work] > 1]


def _two_pools(runs: list[run_ledger.RunEvent]) -> list[str]:
    """Return runs that started beside a run of another pool."""
    pools_by_instance: dict[str, dict[str, str | None]] = {}
    tags = []
    for event in runs:
        open_runs = pools_by_instance.setdefault(event.instance, {})
        match event.kind:
            case run_ledger.RunEventKind.START:
                if event.running == 1:
                    # A killed target leaves runs without a recorded end.
                    open_runs.clear()
                open_runs[event.tag] = event.pool
                if len(set(open_runs.values())) > 1:
                    tags.append(f'{event.instance}:{event.tag}')
            case run_ledger.RunEventKind.END:
                open_runs.pop(event.tag, None)
    return tags


def _false_not_run(
    callers: caller_ledger.CallerLedger,
    starts_by_tag: collections.Counter[str],
) -> list[str]:
    return [
        answer.tag
        for answer in callers.answers_by_tag.values()
        if answer.outcome in (_Outcome.NOT_RUN, _Outcome.NOT_SENT)
        and starts_by_tag[answer.tag]
    ]
