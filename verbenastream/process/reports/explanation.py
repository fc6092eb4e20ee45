"""Puts together what the logs of many processes say about one job."""

from __future__ import annotations

from collections.abc import Iterable
import dataclasses
import datetime
from typing import Any

import msgspec

# Lines about who decides, shown if they fall into the life of the job.
_CONTEXT = (
    'this process leads',
    'leadership given up',
    'node started',
    'node stops',
    'configuration in force',
)
_HIDDEN = frozenset({'time', 'level', 'process', 'logger', 'message'})
# Around the job's own lines, for what happened just before the first.
_MARGIN_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """One structured line; ``at`` is Unix time in seconds."""

    at: float
    process: str
    message: str
    values_by_name: dict[str, Any]

    def __str__(self) -> str:
        time = datetime.datetime.fromtimestamp(self.at, datetime.timezone.utc)
        values = ' '.join(
            f'{name}={value}' for name, value in self.values_by_name.items()
        )
        return (
            f'{time:%H:%M:%S.%f}'[:-3]
            + f' {self.process}: {self.message} {values}'.rstrip()
        )


def parse(text: str) -> LogLine | None:
    """Return the structured line in ``text``, None if there is none.

    What stands before the first brace, such as a time stamp that a collector
    added, is ignored.
    """
    begin = text.find('{')
    if begin < 0:
        return None
    try:
        fields = msgspec.json.decode(text[begin:])
        time = datetime.datetime.fromisoformat(fields['time'])
    except (ValueError, KeyError, TypeError):
        return None
    if time.tzinfo is None:
        time = time.replace(tzinfo=datetime.timezone.utc)
    return LogLine(
        time.timestamp(),
        str(fields.get('process', '')),
        str(fields.get('message', '')),
        {name: fields[name] for name in fields if name not in _HIDDEN},
    )


def explain(job: str, lines: Iterable[str]) -> list[LogLine]:
    """Return the lines that concern ``job``, in order of time.

    Lines about leaders and configurations are included where they fall into
    the life of the job. Lines of one process keep their order; clocks of
    different processes may differ by some milliseconds::

        for line in explain('5c0e7a21d94b36f8', open('node-1.log')):
            print(line)
    """
    own: list[LogLine] = []
    context: list[LogLine] = []
    for text in lines:
        concerns = job in text
        if not concerns and '"message":"' not in text:
            continue
        line = parse(text)
        if line is None:
            continue
        if concerns:
            own.append(_narrowed(line, job))
        elif line.message.startswith(_CONTEXT):
            context.append(line)
    if not own:
        return []
    begin = min(line.at for line in own) - _MARGIN_S
    end = max(line.at for line in own)
    own.extend(line for line in context if begin <= line.at <= end)
    return sorted(own, key=lambda line: line.at)


def _narrowed(line: LogLine, job: str) -> LogLine:
    """Keep of a list of runs those of ``job``."""
    runs = line.values_by_name.get('runs')
    if not isinstance(runs, str):
        return line
    kept = ' '.join(run for run in runs.split() if run.startswith(job))
    values = {**line.values_by_name, 'runs': kept}
    return dataclasses.replace(line, values_by_name=values)


def conclusion(story: list[LogLine]) -> str:
    """Return in one sentence what decided the fate of the job."""
    if not story:
        return 'No line names this job. Check its id and the files.'
    refused = [line for line in story if line.message == 'call refused']
    ended = [line for line in story if line.message == 'job ended']
    accepted = [line for line in story if line.message == 'job accepted']
    started = [line for line in story if line.message == 'tasks started']
    lost = [line for line in story if line.message == 'runs lost']
    if any(line.message == 'job cancelled' for line in story):
        return 'It was cancelled by a call.'
    if not accepted:
        if refused:
            reason = refused[-1].values_by_name.get('reason', '')
            return f'It was never accepted; the last refusal says: {reason}'
        return 'No node accepted it and none refused it in these files.'
    if not started:
        return 'It was accepted and never started: its pool had no room.'
    waited = started[0].at - accepted[0].at
    parts = [f'It waited {waited:.2f} s for its first start']
    if lost:
        parts.append(f'{len(lost)} times runs were lost with their worker')
    if ended:
        values = ended[-1].values_by_name
        parts.append(
            f'it ended as {values.get("phase")} after {values.get("took_s")} s'
        )
    else:
        parts.append('it has not ended in these files')
    return ', '.join(parts) + '.'
