"""Renders the configuration reference from the types of the settings."""

from __future__ import annotations

import inspect
from typing import Any

import msgspec
from msgspec import inspect as msgspec_inspect

from verbenastream.process.settings import schema
from verbenastream import validation
from verbenastream.version import documents

_DOCUMENTED_TYPES: tuple[tuple[str, type[msgspec.Struct]], ...] = (
    ('Settings of verbenastream-entry', schema.EntrySettings),
    ('Settings of verbenastream-control', schema.ControlSettings),
    ('Service document', documents.Document),
)

_INTRODUCTION = """# Configuration reference

Made from the types by `python -m verbenastream.process.settings.reference`.
Durations are in seconds, sizes in bytes. Unknown keys are errors. Check a
file with `verbenastream check FILE`.
"""


def render() -> str:
    """Return the reference as Markdown."""
    parts = [_INTRODUCTION]
    for title, struct_type in _DOCUMENTED_TYPES:
        parts.append(f'## {title}\n')
        rendered: set[type] = set()
        _render_struct(msgspec_inspect.type_info(struct_type), parts, rendered)
    return '\n'.join(parts)


def _render_struct(
    info: msgspec_inspect.Type, parts: list[str], rendered: set[type]
) -> None:
    if (
        not isinstance(info, msgspec_inspect.StructType)
        or info.cls in rendered
    ):
        return
    rendered.add(info.cls)
    parts.append(f'### {info.cls.__name__}\n')
    text = inspect.getdoc(info.cls)
    if text and 'Struct' not in text.partition('\n')[0]:
        parts.append(text + '\n')
    rows = ['| key | value | default |', '|---|---|---|']
    for field in info.fields:
        rows.append(
            f'| `{field.encode_name}` | {_describe_type(field.type)} '
            f'| {_describe_default(field)} |'
        )
    parts.append('\n'.join(rows) + '\n')
    for field in info.fields:
        for nested in _nested_structs(field.type):
            _render_struct(nested, parts, rendered)


def _nested_structs(info: msgspec_inspect.Type) -> list[msgspec_inspect.Type]:
    match info:
        case msgspec_inspect.Metadata(type=inner):
            return _nested_structs(inner)
        case msgspec_inspect.StructType():
            return [info]
        case msgspec_inspect.DictType(value_type=inner):
            return _nested_structs(inner)
        case msgspec_inspect.VarTupleType(item_type=inner):
            return _nested_structs(inner)
        case msgspec_inspect.UnionType(types=types):
            return [
                struct
                for option in types
                for struct in _nested_structs(option)
            ]
    return []


def _describe_type(info: msgspec_inspect.Type) -> str:
    match info:
        case msgspec_inspect.StructType(cls=kind):
            return f'object {kind.__name__}'
        case msgspec_inspect.DictType(value_type=inner):
            return f'object by name of: {_describe_type(inner)}'
        case msgspec_inspect.VarTupleType(item_type=inner):
            return f'list of: {_describe_type(inner)}'
        case msgspec_inspect.UnionType(types=types):
            return ' or '.join(_describe_type(option) for option in types)
        case _:
            return validation.describe_type(info).replace('|', '\\|')


def _describe_default(field: msgspec_inspect.Field) -> str:
    if field.required:
        return 'required'
    value: Any = field.default
    if value is msgspec.NODEFAULT:
        return 'see below'
    if isinstance(value, msgspec.Struct):
        return 'the defaults of the object'
    return f'`{validation.format_value(value)}`'


if __name__ == '__main__':
    print(render(), end='')
