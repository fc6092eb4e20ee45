"""The command ``explain``: the history of one job from log files."""

from __future__ import annotations

import itertools
import pathlib
import sys
from typing import Annotated

import cyclopts

from verbenastream.process.client import exit_codes
from verbenastream.process.reports import explanation
from verbenastream import wire


def explain(
    job: str,
    files: list[pathlib.Path],
    *,
    json: Annotated[bool, cyclopts.Parameter(negative='')] = False,
) -> int:
    """Show the history of one job from the logs of many processes.

    Example: verbenastream explain 5c0e7a21d94b36f8 logs/*.log

    Parameters
    ----------
    job
        Id of the job.
    files
        Log files of the processes, in any order.
    json
        Print each log line as a JSON object.
    """
    try:
        log_files = [path.open(errors='replace') for path in files]
    except OSError as error:
        print(f'cannot read {error.filename}: {error}', file=sys.stderr)
        return exit_codes.ExitCode.INVALID
    log_lines = explanation.explain(
        job, itertools.chain.from_iterable(log_files)
    )
    for file in log_files:
        file.close()
    for line in log_lines:
        print(wire.encode(line).decode() if json else line)
    print(explanation.conclusion(log_lines), file=sys.stderr)
    return (
        exit_codes.ExitCode.OK if log_lines else exit_codes.ExitCode.NOT_FOUND
    )
