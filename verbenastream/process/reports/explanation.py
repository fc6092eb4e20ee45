"""Merges the log lines of many processes about one job."""

from __future__ import annotations

from collections.abc import Iterable
import dataclasses
import datetime
from typing import Any

import msgspec

# Lines about leadership and configuration, shown if they were logged while the
# job existed.
_CONTEXT_MESSAGES = (
    'this process leads',
    'leadership given up',
    'node started',
    'node stops',
    'configuration in force',
)
_STANDARD_FIELDS = frozenset({'time', 'level', 'process', 'logger', 'message'})
# Also shows context from shortly before the first line of the job.
_CONTEXT_MARGIN_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """One structured log line; ``at`` is Unix time in seconds."""

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

    Text before the first brace, such as a time stamp that a log collector
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
        {
            name: fields[name]
            for name in fields
            if name not in _STANDARD_FIELDS
        },
    )


def explain(job: str, lines: Iterable[str]) -> list[LogLine]:
    """Return the lines about ``job``, sorted by time.

    Lines about leaders and configurations are included if they were logged
    while the job existed. Lines of one process keep their order; clocks of
    different processes may differ by some milliseconds::

        for line in explain('5c0e7a21d94b36f8', open('node-1.log')):
            print(line)
    """
    job_lines: list[LogLine] = []
    context_lines: list[LogLine] = []
    for text in lines:
        mentions_job = job in text
        if not mentions_job and '"message":"' not in text:
            continue
        line = parse(text)
        if line is None:
            continue
        if mentions_job:
            job_lines.append(_with_runs_of_job(line, job))
        elif line.message.startswith(_CONTEXT_MESSAGES):
            context_lines.append(line)
    if not job_lines:
        return []
    begin = min(line.at for line in job_lines) - _CONTEXT_MARGIN_S
    end = max(line.at for line in job_lines)
    job_lines.extend(line for line in context_lines if begin <= line.at <= end)
    return sorted(job_lines, key=lambda line: line.at)


def _with_runs_of_job(line: LogLine, job: str) -> LogLine:
    """Remove the runs of other jobs from the line's list of runs."""
    runs = line.values_by_name.get('runs')
    if not isinstance(runs, str):
        return line
    runs_of_job = ' '.join(run for run in runs.split() if run.startswith(job))
    values = {**line.values_by_name, 'runs': runs_of_job}
    return dataclasses.replace(line, values_by_name=values)


def conclusion(log_lines: list[LogLine]) -> str:
    """Return one sentence that says how the job ended, or why it did not."""
    if not log_lines:
        return 'No line names this job. Check its id and the files.'
    refused = [line for line in log_lines if line.message == 'call refused']
    ended = [line for line in log_lines if line.message == 'job ended']
    accepted = [line for line in log_lines if line.message == 'job accepted']
    started = [line for line in log_lines if line.message == 'tasks started']
    lost = [line for line in log_lines if line.message == 'runs lost']
    if any(line.message == 'job cancelled' for line in log_lines):
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
