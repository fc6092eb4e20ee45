"""The command that explains the fate of one job from log files."""

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
    """Tell the story of one job from the logs of many processes.

    Example: verbenastream explain 5c0e7a21d94b36f8 logs/*.log

    Parameters
    ----------
    job
        Id of the job.
    files
        Log files of the processes, in any order.
    json
        Print one JSON object for each line.
    """
    try:
        opened = [path.open(errors='replace') for path in files]
    except OSError as error:
        print(f'cannot read {error.filename}: {error}', file=sys.stderr)
        return exit_codes.ExitCode.INVALID
    story = explanation.explain(job, itertools.chain.from_iterable(opened))
    for file in opened:
        file.close()
    for line in story:
        print(wire.encode(line).decode() if json else line)
    print(explanation.conclusion(story), file=sys.stderr)
    return exit_codes.ExitCode.OK if story else exit_codes.ExitCode.NOT_FOUND
