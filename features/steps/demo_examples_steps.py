"""Steps that load the sample settings and documents."""

from __future__ import annotations

import pathlib

import behave

from verbenastream.process import settings
from verbenastream import validation
from verbenastream.version import documents
from verbenastream_testing import samples
from verbenastream_testing import write_examples

_FOLDER = pathlib.Path(__file__).parents[2] / 'examples'
_SAMPLES = {'mexico': samples.MEXICO, 'ghana': samples.GHANA}


@behave.given('the sample files of {region}')
def step_samples(context, region):
    context.region = region
    context.sample_files = sorted((_FOLDER / region).rglob('*.json'))


@behave.when('each sample file is loaded as the daemons load it')
def step_load_samples(context):
    context.loaded = []
    for path in context.sample_files:
        if path.parent.name == 'documents':
            value = validation.parse(path.read_bytes(), path.name, 2**20)
            kind = documents.Document
            context.loaded.append(validation.check(value, kind, path.name))
        elif path.name.startswith('control'):
            context.loaded.append(
                settings.load(path, settings.ControlSettings)
            )
        else:
            context.loaded.append(settings.load(path, settings.EntrySettings))


@behave.then(
    '{entries:d} entry, {controls:d} control and {count:d} document samples '
    'are valid'
)
def step_counts(context, entries, controls, count):
    kinds = [type(value) for value in context.loaded]
    assert kinds.count(settings.EntrySettings) == entries, kinds
    assert kinds.count(settings.ControlSettings) == controls, kinds
    assert kinds.count(documents.Document) == count, kinds


@behave.then('the samples equal what their generator writes')
def step_generated(context):
    expected = write_examples.files(_SAMPLES[context.region])
    actual = {
        str(path.relative_to(_FOLDER)): path.read_text(encoding='utf-8')
        for path in context.sample_files
    }
    assert actual.keys() == expected.keys()
    for name, value in expected.items():
        assert actual[name] == write_examples.text(value), name
