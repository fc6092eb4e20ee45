"""Prints the results and errors of the commands."""

from __future__ import annotations

from collections.abc import Iterator
import datetime
import sys
from typing import Any

import msgspec

from verbenastream import errors as base_errors
from verbenastream.process.client import errors
from verbenastream.process.client import exit_codes
from verbenastream.process.control import messages
from verbenastream.process import state
from verbenastream import wire


def show_json(value: Any) -> None:
    """Print ``value`` as indented JSON."""
    print(msgspec.json.format(wire.encode(value), indent=2).decode())


def format_time(seconds: float) -> str:
    """Return a Unix time as text in UTC."""
    utc_time = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return utc_time.strftime('%Y-%m-%d %H:%M:%S UTC')


def print_error(
    error: errors.ClientError, as_json: bool
) -> exit_codes.ExitCode:
    """Print an error and return its exit code.

    Text goes to standard error, JSON to standard output.
    """
    failure = error.failure or messages.Failure(
        error.code.name.lower(), error.message, error.remedy
    )
    if as_json:
        show_json(failure)
        return error.code
    for problem in failure.problems:
        print(
            f'{problem.path}: {problem.message}, found {problem.found}. '
            f'{problem.remedy}',
            file=sys.stderr,
        )
    if failure.result is not None:
        for line in _submit_result_lines(failure.result):
            print(line, file=sys.stderr)
    print(f'error: {error}', file=sys.stderr)
    return error.code


def invalid_input_error(
    group: base_errors.InvalidInputGroup,
) -> errors.ClientError:
    """Return the error that lists all problems of ``group``."""
    failure = messages.Failure(
        'invalid',
        str(group.message),
        'Correct all of them and check again.',
        tuple(
            messages.Problem.from_error(problem) for problem in group.problems
        ),
    )
    return errors.from_failure(failure)


def show_submitted(result: state.SubmitResult) -> None:
    print(f'{result.service}: revision {result.revision} accepted')
    for warning in result.warnings:
        print(f'warning: {warning}')


def show_in_force(status: messages.InForce) -> None:
    if status.in_force:
        print(
            f'{status.service}: revision {status.revision} is in force at '
            f'{len(status.acknowledged)} entries'
        )
    else:
        current = 'none'
        if status.in_force_revision:
            current = f'revision {status.in_force_revision}'
        print(
            f'{status.service}: revision {status.revision} is accepted, in '
            f'force is {current}'
        )
    for lagging in status.lagging:
        print(f'  {lagging.entry} lags for {lagging.seconds:.1f} s')
    for entry in status.absent:
        print(f'  {entry} holds no lease and answers no caller')


def show_history(history: messages.History) -> None:
    for item in history.items:
        print(
            f'{item.revision:>6}  {format_time(item.submitted_at)}  '
            f'submission {item.submission}'
        )


def show_status(status: messages.Status) -> None:
    replica = status.replica
    print(
        f'{status.deployment}: {replica.id} leads in term {replica.term}, '
        f'index {replica.applied_index}'
    )
    for name, lag in sorted(replica.lag_by_name.items()):
        print(f'  replica {name}: {lag} records behind')
    for entry in status.entries:
        state_text = 'live' if entry.live else 'no lease'
        print(
            f'  entry {entry.id} ({entry.data_centre}): {state_text}, heard '
            f'{entry.silent_s:.1f} s ago, {entry.lag} behind'
        )
    for pool in status.pools:
        for line in _pool_lines(pool):
            print(line)
    print(f'  instances: {_format_counts(status.instances_by_state)}')
    for notice in status.notices:
        print(
            f'  notice {notice.id}: down at {format_time(notice.down_at)}, '
            f'until {format_time(notice.until)}'
        )
    if status.moves_suspended:
        print(f'  moves suspended: {status.moves_suspended}')


def _pool_lines(pool: messages.PoolStatus) -> Iterator[str]:
    in_force_text = 'in force' if pool.in_force else 'not yet in force'
    yield (
        f'  {pool.service}: revision {pool.revision} {in_force_text}, needs '
        f'{pool.needed}, has {_format_counts(pool.instances_by_state)}'
    )
    if pool.explanation is not None:
        for explanation in (
            *pool.explanation.notes,
            *pool.explanation.refused,
        ):
            yield f'    {explanation}'


def _format_counts(counts: dict[str, int]) -> str:
    return (
        ', '.join(f'{count} {name}' for name, count in counts.items())
        or 'none'
    )


def _submit_result_lines(result: state.SubmitResult) -> Iterator[str]:
    if result.verdict is state.Verdict.CONFLICT:
        yield (
            f'current revision of {result.service} is {result.revision}; '
            'your document would change it so:'
        )
    yield from (f'  {item}' for item in result.difference)
    yield from (f'  {reason}' for reason in result.reasons)
    yield from (f'  warning: {warning}' for warning in result.warnings)
