"""Lists every name that leaves the processes, to compare two versions.

Class names do not appear, so that a renamed class gives the same list. The
code of another checkout is listed with its root on ``PYTHONPATH``::

    PYTHONPATH=OLD:OLD/platform python .ci/outer_names.py OLD
"""

from __future__ import annotations

import ast
from collections.abc import Iterator
import dataclasses
import enum
import importlib
import io
import pathlib
import re
import sys
import types
from typing import Any

import msgspec
from msgspec import inspect as msgspec_inspect
from rich import console

_PACKAGES = ('verbenastream', 'platform/verbena_platform')
# Written as JSON although it is a plain data class.
_ENCODED = (('verbenastream.process.reports.explanation', 'LogLine'),)
_APPS = (
    'verbenastream.process.client.app',
    'verbenastream.process.entry.app',
    'verbenastream.process.control.main',
    'verbenastream.process.storage.restore',
)
_LOG_LEVELS = ('debug', 'info', 'notice', 'warning', 'error', 'critical')
_FLAG = re.compile(r'--[a-z][a-z0-9-]*|VERBENASTREAM_[A-Z_]+')


def _paths(root: pathlib.Path) -> Iterator[tuple[str, pathlib.Path]]:
    for package in _PACKAGES:
        base = root / package
        for path in sorted(base.rglob('*.py')):
            parts = path.relative_to(base.parent).with_suffix('').parts
            if parts[-1] == '__init__':
                parts = parts[:-1]
            if parts[-1] != '__main__':
                yield '.'.join(parts), path


# Types that are encoded.


def _fields_text(fields: tuple[Any, ...], seen: tuple[type, ...]) -> str:
    return ', '.join(
        f'{field.encode_name}{"" if field.required else "?"}: '
        f'{_type_text(field.type, seen)}'
        for field in fields
    )


def _type_text(info: Any, seen: tuple[type, ...] = ()) -> str:
    """Describe a type by what its JSON holds, without names of classes."""
    match info:
        case (
            msgspec_inspect.StructType()
            | msgspec_inspect.DataclassType()
            | msgspec_inspect.TypedDictType()
        ):
            if info.cls in seen:
                return f'(level {seen.index(info.cls)})'
            fields = _fields_text(info.fields, (*seen, info.cls))
            tag = getattr(info, 'tag', None)
            brackets = '[]' if getattr(info, 'array_like', False) else '{}'
            strict = getattr(info, 'forbid_unknown_fields', False)
            return (
                f'{"" if tag is None else f"{info.tag_field}={tag} "}'
                f'{brackets[0]}{fields}{" strict" if strict else ""}'
                f'{brackets[1]}'
            )
        case msgspec_inspect.NamedTupleType(fields=members):
            return f'[{_fields_text(members, seen)}]'
        case msgspec_inspect.EnumType(cls=cls):
            return _enum_text(cls)
        case msgspec_inspect.CustomType(cls=cls):
            return f'custom {cls.__name__}'
        case msgspec_inspect.Type():
            parts = [type(info).__name__.removesuffix('Type').lower()]
            for name in info.__struct_fields__:
                parts.append(_part_text(getattr(info, name), seen))
            inner = ' '.join(part for part in parts[1:] if part)
            return f'{parts[0]}({inner})'
    return repr(info)


def _part_text(value: Any, seen: tuple[type, ...]) -> str:
    match value:
        case None:
            return ''
        case msgspec_inspect.Type():
            return _type_text(value, seen)
        case tuple():
            return ' | '.join(sorted(_part_text(one, seen) for one in value))
    return repr(value)


def _enum_text(cls: type[enum.Enum]) -> str:
    return f'enum({", ".join(repr(one.value) for one in cls)})'


def _struct_text(cls: type[msgspec.Struct]) -> str:
    try:
        return f'struct {_type_text(msgspec_inspect.type_info(cls))}'
    except NameError:
        # Its types are imported for annotations only: it is never decoded.
        return f'struct fields {", ".join(cls.__struct_encode_fields__)}'


def _types(modules: list[types.ModuleType]) -> Iterator[str]:
    for module in modules:
        for value in vars(module).values():
            if getattr(value, '__module__', None) != module.__name__:
                continue
            if not isinstance(value, type):
                continue
            if issubclass(value, msgspec.Struct):
                yield _struct_text(value)
            elif issubclass(value, enum.Enum) and len(value):
                yield _enum_text(value)
    for name, cls in _ENCODED:
        fields = dataclasses.fields(getattr(sys.modules[name], cls))
        yield f'data class {", ".join(field.name for field in fields)}'


# Text in the source.


def _skipped(tree: ast.Module) -> set[int]:
    """Nodes whose text stays inside: docstrings, __all__, names of types."""
    found: set[int] = set()
    for node in ast.walk(tree):
        match node:
            case ast.Expr(value=ast.Constant() as text):
                found.add(id(text))
            case ast.Assign(targets=[ast.Name(id='__all__' | '__slots__')]):
                found.update(id(child) for child in ast.walk(node.value))
            case ast.Call(func=ast.Name(id='NewType' | 'TypeVar')):
                found.update(id(child) for child in ast.walk(node))
            case ast.Call(func=ast.Attribute(attr='NewType' | 'TypeVar')):
                found.update(id(child) for child in ast.walk(node))
            case ast.JoinedStr():
                texts = [
                    child
                    for child in node.values
                    if isinstance(child, ast.Constant)
                ]
                if any(' ' in text.value for text in texts):
                    found.update(id(text) for text in texts)
    return found


def _words(tree: ast.Module) -> Iterator[str]:
    """Literals without spaces: paths, headers, keys, metrics, files."""
    skipped = _skipped(tree)
    for node in ast.walk(tree):
        if isinstance(node, ast.Constant) and id(node) not in skipped:
            value = node.value
            if isinstance(value, bytes):
                value = value.decode('latin-1')
            if isinstance(value, str) and re.fullmatch(r'\S+', value):
                yield f'word {ascii(value)}'


def _log_calls(tree: ast.Module) -> Iterator[str]:
    for node in ast.walk(tree):
        match node:
            case ast.Call(
                func=ast.Attribute(value=ast.Name(id='LOG'), attr=level)
            ) if level in (*_LOG_LEVELS, 'exception'):
                message = ast.unparse(node.args[0]) if node.args else ''
                yield f'log message {level} {message}'
                for keyword in node.keywords:
                    yield from _log_fields(keyword)


def _log_fields(keyword: ast.keyword) -> Iterator[str]:
    if isinstance(keyword.value, ast.Dict):
        for key in keyword.value.keys:
            if key is not None:
                yield f'log field {ast.unparse(key)}'
    else:
        yield f'log argument {keyword.arg}'


def _source_names(name: str, path: pathlib.Path) -> Iterator[str]:
    source = path.read_text()
    tree = ast.parse(source)
    yield from _words(tree)
    yield from _log_calls(tree)
    if 'logbook.Logger(__name__)' in source:
        yield f'log channel {name}'


# Command lines.


def _commands(app: Any, path: tuple[str, ...] = ()) -> Iterator[str]:
    text = io.StringIO()
    out = console.Console(file=text, width=200)
    app.help_print(list(path), console=out)
    for flag in sorted(set(_FLAG.findall(text.getvalue()))):
        yield f'command {" ".join(path)} {flag}'
    found = app
    for part in path:
        found = found[part]
    for name in found:
        if not name.startswith('-'):
            yield f'command {" ".join((*path, name))}'
            yield from _commands(app, (*path, name))


def main(arguments: list[str]) -> int:
    """Print the sorted list of the checkout at the first argument."""
    root = pathlib.Path(arguments[0] if arguments else '.')
    names: set[str] = set()
    modules = []
    for name, path in _paths(root):
        modules.append(importlib.import_module(name))
        names.update(_source_names(name, path))
    names.update(_types(modules))
    for name in _APPS:
        module = sys.modules[name]
        names.update(_commands(module.app))
    for line in sorted(names):
        print(line)
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
