"""Checks JSON against msgspec types and reports all problems together."""

from __future__ import annotations

import re
from typing import Any
from typing import TypeVar

import msgspec
from msgspec import inspect as msgspec_inspect

from verbenastream import errors

T = TypeVar('T')

_MAX_DESCRIPTION_CHARS = 80
_MAX_DEPTH = 32
# Values at such paths are not shown: a mistyped secret reveals most of it.
_SECRET_SUFFIX = '.key'
_REDACTED = '(hidden)'


def format_value(value: Any) -> str:
    """Return ``value`` as JSON text truncated to 80 characters."""
    text = msgspec.json.encode(value).decode()
    if len(text) > _MAX_DESCRIPTION_CHARS:
        return text[: _MAX_DESCRIPTION_CHARS - 3] + '...'
    return text


def parse(data: bytes, name: str, max_bytes: int) -> Any:
    """Return the JSON value in ``data``.

    Raises ``InvalidInputGroup`` with one problem if ``data`` is empty, over
    ``max_bytes``, not UTF-8, malformed or nested deeper than 32 levels.
    """

    def reject(message: str, found: str, remedy: str) -> None:
        problem = errors.Problem('$', found, message, remedy)
        raise errors.InvalidInputGroup.from_problems(name, [problem])

    if not data.strip():
        reject('the file is empty', '0 bytes', 'Write one JSON object.')
    if len(data) > max_bytes:
        reject(
            f'larger than {max_bytes} bytes',
            f'{len(data)} bytes',
            'Remove what is not needed.',
        )
    try:
        data.decode('utf-8')
    except UnicodeDecodeError as error:
        reject('not UTF-8', f'byte {error.start}', 'Save the file as UTF-8.')
    try:
        value = msgspec.json.decode(data)
    except (msgspec.DecodeError, RecursionError) as error:
        reject('not valid JSON', str(error), 'Correct the syntax.')
    if _is_deeper_than(value, _MAX_DEPTH):
        reject(
            f'nested deeper than {_MAX_DEPTH} levels',
            'deep nesting',
            'Flatten the structure.',
        )
    return value


def check(value: Any, kind: type[T], name: str) -> T:
    """Return ``value`` converted to the struct ``kind``.

    Raises ``InvalidInputGroup`` with all problems, each with its JSON path,
    the value found and the remedy. An unknown key is a problem too.
    """
    problems: list[errors.Problem] = []
    _collect_problems(value, msgspec_inspect.type_info(kind), '$', problems)
    if not problems:
        try:
            return msgspec.convert(value, kind)
        except msgspec.ValidationError as error:
            problems.append(_validation_problem(value, '$', error))
    raise errors.InvalidInputGroup.from_problems(name, problems)


def _is_deeper_than(value: Any, limit: int) -> bool:
    pending = [(value, 1)]
    while pending:
        item, depth = pending.pop()
        if depth > limit:
            return True
        match item:
            case dict():
                pending.extend((child, depth + 1) for child in item.values())
            case list():
                pending.extend((child, depth + 1) for child in item)
    return False


def _collect_problems(
    value: Any,
    info: msgspec_inspect.Type,
    path: str,
    problems: list[errors.Problem],
) -> None:
    match info:
        case msgspec_inspect.Metadata(type=inner):
            _collect_problems(value, inner, path, problems)
        case msgspec_inspect.StructType() if isinstance(value, dict):
            _collect_struct(value, info, path, problems)
        case msgspec_inspect.DictType(value_type=inner) if isinstance(
            value, dict
        ):
            for key, child in value.items():
                _collect_problems(child, inner, f'{path}.{key}', problems)
        case (
            msgspec_inspect.ListType(item_type=inner)
            | msgspec_inspect.VarTupleType(item_type=inner)
        ) if isinstance(value, list):
            for position, child in enumerate(value):
                _collect_problems(
                    child, inner, f'{path}[{position}]', problems
                )
        case msgspec_inspect.UnionType(types=types):
            _collect_union(value, types, path, problems)
        case _:
            _collect_leaf(value, info, path, problems)


def _collect_struct(
    value: dict[str, Any],
    info: msgspec_inspect.StructType,
    path: str,
    problems: list[errors.Problem],
) -> None:
    fields_by_name = {field.encode_name: field for field in info.fields}
    for key in value:
        if key not in fields_by_name and key != info.tag_field:
            problems.append(
                errors.Problem(
                    f'{path}.{key}',
                    format_value(value[key]),
                    'unknown key',
                    'Remove it or use one of: '
                    + ', '.join(sorted(fields_by_name))
                    + '.',
                )
            )
    for key, field in fields_by_name.items():
        if key in value:
            _collect_problems(
                value[key], field.type, f'{path}.{key}', problems
            )
        elif field.required:
            problems.append(
                errors.Problem(
                    f'{path}.{key}',
                    'nothing',
                    'required key is missing',
                    f'Add "{key}" ({describe_type(field.type)}).',
                )
            )


def _collect_union(
    value: Any,
    types: tuple[msgspec_inspect.Type, ...],
    path: str,
    problems: list[errors.Problem],
) -> None:
    if value is None and any(
        isinstance(option, msgspec_inspect.NoneType) for option in types
    ):
        return
    options = [
        option
        for option in types
        if not isinstance(option, msgspec_inspect.NoneType)
    ]
    if isinstance(value, dict):
        structs = [
            option
            for option in options
            if isinstance(option, msgspec_inspect.StructType)
        ]
        for struct in structs:
            if len(structs) == 1 or value.get(struct.tag_field) == struct.tag:
                _collect_problems(value, struct, path, problems)
                return
    problems_by_option: list[list[errors.Problem]] = []
    for option in options:
        option_problems: list[errors.Problem] = []
        _collect_problems(value, option, path, option_problems)
        problems_by_option.append(option_problems)
    fewest_problems = min(problems_by_option, key=len)
    problems.extend(fewest_problems)


def _collect_leaf(
    value: Any,
    info: msgspec_inspect.Type,
    path: str,
    problems: list[errors.Problem],
) -> None:
    requirement = describe_type(info)
    if _is_valid_leaf(value, info):
        return
    problems.append(
        errors.Problem(
            path,
            _REDACTED
            if path.endswith(_SECRET_SUFFIX)
            else format_value(value),
            f'must be {requirement}',
            f'Write {requirement}.',
        )
    )


def _is_valid_leaf(value: Any, info: msgspec_inspect.Type) -> bool:
    match info:
        case msgspec_inspect.AnyType():
            return True
        case msgspec_inspect.BoolType():
            return isinstance(value, bool)
        case msgspec_inspect.IntType():
            return (
                isinstance(value, int)
                and not isinstance(value, bool)
                and _in_bounds(value, info)
            )
        case msgspec_inspect.FloatType():
            return (
                isinstance(value, (int, float))
                and not isinstance(value, bool)
                and _in_bounds(value, info)
            )
        case msgspec_inspect.StrType():
            return isinstance(value, str) and _matches_text(value, info)
        case msgspec_inspect.EnumType(cls=kind):
            return value in [member.value for member in kind]
        case msgspec_inspect.LiteralType(values=values):
            return value in values
    return False


def _in_bounds(
    value: float, info: msgspec_inspect.IntType | msgspec_inspect.FloatType
) -> bool:
    return (
        (info.ge is None or value >= info.ge)
        and (info.gt is None or value > info.gt)
        and (info.le is None or value <= info.le)
        and (info.lt is None or value < info.lt)
    )


def _matches_text(value: str, info: msgspec_inspect.StrType) -> bool:
    if info.min_length is not None and len(value) < info.min_length:
        return False
    if info.max_length is not None and len(value) > info.max_length:
        return False
    return info.pattern is None or re.search(info.pattern, value) is not None


def describe_type(info: msgspec_inspect.Type) -> str:
    """Return a description of the values that the type ``info`` accepts."""
    match info:
        case msgspec_inspect.Metadata(type=inner):
            return describe_type(inner)
        case msgspec_inspect.IntType():
            return 'an integer' + _describe_bounds(info)
        case msgspec_inspect.FloatType():
            return 'a number' + _describe_bounds(info)
        case msgspec_inspect.StrType(pattern=pattern) if pattern:
            return f'a string that matches {pattern}'
        case msgspec_inspect.StrType():
            return 'a string' + _describe_lengths(info)
        case msgspec_inspect.BoolType():
            return 'true or false'
        case msgspec_inspect.EnumType(cls=kind):
            values = [str(member.value) for member in kind]
            return 'one of ' + ', '.join(values)
        case msgspec_inspect.LiteralType(values=values):
            return 'one of ' + ', '.join(str(value) for value in values)
        case msgspec_inspect.StructType() | msgspec_inspect.DictType():
            return 'an object'
        case msgspec_inspect.ListType() | msgspec_inspect.VarTupleType():
            return 'a list'
        case msgspec_inspect.UnionType(types=types):
            return ' or '.join(describe_type(option) for option in types)
        case msgspec_inspect.NoneType():
            return 'null'
    return 'a value'


def _describe_bounds(
    info: msgspec_inspect.IntType | msgspec_inspect.FloatType,
) -> str:
    parts = []
    for sign, bound in (
        ('>=', info.ge),
        ('>', info.gt),
        ('<=', info.le),
        ('<', info.lt),
    ):
        if bound is not None:
            parts.append(f'{sign} {bound}')
    return ' ' + ' and '.join(parts) if parts else ''


def _describe_lengths(info: msgspec_inspect.StrType) -> str:
    if info.min_length is not None and info.max_length is not None:
        return f' of {info.min_length} to {info.max_length} characters'
    if info.min_length is not None:
        return f' of at least {info.min_length} characters'
    if info.max_length is not None:
        return f' of at most {info.max_length} characters'
    return ''


def _validation_problem(
    value: Any, path: str, error: msgspec.ValidationError
) -> errors.Problem:
    return errors.Problem(
        path, format_value(value), str(error), 'Correct the value.'
    )
