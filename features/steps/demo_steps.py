"""Steps that run the demo in a process of its own, as its users do."""

from __future__ import annotations

import pathlib
import subprocess
import sys

import behave

_REPOSITORY = pathlib.Path(__file__).parents[2]
# The demo takes about half a minute; this ends one that hangs.
_TIMEOUT_S = 180


@behave.when('the demo runs as a process of its own')
def step_run_demo(context):
    context.demo_folder = context.world.folder / 'demo'
    context.demo = subprocess.run(
        [
            sys.executable,
            '-m',
            'verbenastream_testing.demo',
            '--keep',
            str(context.demo_folder),
        ],
        cwd=_REPOSITORY,
        capture_output=True,
        text=True,
        timeout=_TIMEOUT_S,
        check=False,
    )


@behave.then(
    'it ends with status 0 and reports nothing lost and nothing run twice'
)
def step_demo_passed(context):
    output = context.demo.stdout
    assert context.demo.returncode == 0, output + context.demo.stderr
    for line in ('lost: 0', 'run twice: 0', 'demo passed'):
        assert line in output, output


@behave.then('no process of the demo is left')
def step_no_process_left(context):
    remaining = []
    for path in pathlib.Path('/proc').glob('[0-9]*/cmdline'):
        try:
            command = path.read_bytes().decode('utf-8', 'replace')
        except OSError:
            continue
        if str(context.demo_folder) in command:
            remaining.append(command.replace('\0', ' '))
    assert not remaining, remaining
