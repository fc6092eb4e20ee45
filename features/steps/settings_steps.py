"""Steps for the checks of settings files."""

from __future__ import annotations

import json
import pathlib
import tempfile

import behave

from verbenastream import errors
from verbenastream.process import settings
from verbenastream.process.settings import reference

_VALID_SETTINGS = {
    'id': 'entry-1',
    'data_centre': 'mx-1',
    'region': 'mexico',
    'deployment': {'name': 'mexico', 'key': '0' * 64},
    'callers': {'address': '127.0.0.1', 'port': 8000, 'tls': 'off'},
    'peers': {'address': '127.0.0.1', 'port': 8001, 'tls': 'off'},
    'control': [{'address': '127.0.0.1', 'port': 8002}],
    'peer_tls': 'off',
}

_UNUSABLE_BY_KIND = {
    'empty': b'',
    'huge': b'"' + b'x' * 2**20 + b'"',
    'deeply nested': b'[' * 500 + b']' * 500,
    'not UTF-8': b'{"id": "\xff"}',
    'malformed': b'{"id": ',
}


@behave.given('an entry settings file with five separate errors')
def step_five_errors(context):
    broken = json.loads(json.dumps(_VALID_SETTINGS))
    broken['callers']['port'] = 70_000
    broken['peers']['address'] = 'localhost'
    broken['control'][0]['host'] = 'extra'
    broken['deployment']['key'] = 'short'
    del broken['region']
    context.settings_data = json.dumps(broken).encode()


@behave.given('a settings file that is {kind}')
def step_unusable(context, kind):
    context.settings_data = _UNUSABLE_BY_KIND[kind]


@behave.when('the settings file is loaded')
def step_load(context):
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder, 'settings.json')
        path.write_bytes(context.settings_data)
        context.problems = []
        try:
            settings.load(path, settings.EntrySettings)
        except errors.InvalidInputGroup as group:
            context.problems = group.problems


@behave.then('{count:d} problems are reported, each with a path and a remedy')
def step_problems(context, count):
    problems = context.problems
    assert len(problems) == count, problems
    assert len({problem.path for problem in problems}) == count, problems
    for problem in problems:
        assert problem.path.startswith('$'), problem
        assert problem.remedy.endswith('.'), problem
        assert problem.found, problem


@behave.then('docs/configuration.md is what the settings types render')
def step_reference(context):
    written = pathlib.Path('docs/configuration.md').read_text()
    assert written == reference.render(), (
        'run python -m verbenastream.process.settings.reference'
    )


@behave.then('no problem shows the deployment key')
def step_no_key(context):
    shown = ' '.join(str(problem) for problem in context.problems)
    assert '"short"' not in shown, shown
    assert '$.deployment.key' in shown, shown
