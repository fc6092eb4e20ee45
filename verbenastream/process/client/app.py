"""Commands of the command-line client for operators."""

from __future__ import annotations

from collections.abc import Callable
import pathlib
import sys
from typing import Annotated
from typing import Any
import uuid

import cyclopts

from verbenastream import errors as base_errors
from verbenastream.process.client import burn
from verbenastream.process.client import checking
from verbenastream.process.client import errors
from verbenastream.process.client import exit_codes
from verbenastream.process.client import explaining
from verbenastream.process.client import jobs
from verbenastream.process.client import options
from verbenastream.process.client import output
from verbenastream.process.client import transport
from verbenastream.process.control import messages
from verbenastream.process import state
from verbenastream.version import documents

app = cyclopts.App(
    name='verbenastream',
    help='Edits and reads the documents of a verbenastream deployment.',
    help_format='plaintext',
)
app.register_install_completion_command(add_to_startup=False)
app.command(burn.report)
app.command(explaining.explain)
app.command(jobs.app)

_DEFAULT_CONNECTION = options.Connection()


@app.command
def submit(
    file: pathlib.Path,
    *,
    team_key_file: Annotated[
        pathlib.Path, cyclopts.Parameter(env_var='VERBENASTREAM_TEAM_KEY_FILE')
    ],
    base_revision: int = 0,
    submission_id: str | None = None,
    wait: Annotated[bool, cyclopts.Parameter(negative='')] = False,
    wait_s: float = 12.0,
    connection: options.Connection = _DEFAULT_CONNECTION,
) -> int:
    """Submit a document.

    Example: verbenastream submit tariff.json --base-revision 3 --wait
    --team-key-file team.key --control 10.0.0.1:8002

    Parameters
    ----------
    file
        The document as a JSON file.
    team_key_file
        File with the key of the team that owns the service.
    base_revision
        The revision that was edited; 0 for the first document. If it is not
        the current one the answer is a conflict with the difference.
    submission_id
        Id of an earlier submission whose answer was lost.
    wait
        Return when the revision is in force, or name the entries that lag.
    wait_s
        Longest wait in seconds.
    """
    submission = submission_id or str(uuid.uuid4())
    data = options.read_file(file, 'document')
    document = documents.check_document(data, str(file))
    key = options.read_file(team_key_file, 'team key file')
    target = connection.target()
    result = transport.run(
        target,
        transport.Call(
            'POST',
            f'/v1/documents/{document.service}',
            query={
                'base_revision': str(base_revision),
                'submission_id': submission,
            },
            body=data,
            key=key.decode('utf-8', 'replace').strip(),
        ),
        state.SubmitResult,
    )
    if not wait:
        _show(connection, result, output.show_submitted)
        return exit_codes.ExitCode.OK
    status = transport.run(
        target,
        transport.Call(
            'GET',
            f'/v1/in-force/{document.service}',
            query={
                'revision': str(result.revision),
                'wait_s': str(max(0, round(wait_s))),
            },
            wait_s=wait_s,
        ),
        messages.InForce,
    )
    if not connection.json:
        output.show_submitted(result)
    _show(connection, status, output.show_in_force)
    if status.in_force:
        return exit_codes.ExitCode.OK
    return exit_codes.ExitCode.NOT_IN_FORCE


@app.command
def show(
    service: str,
    *,
    document: Annotated[bool, cyclopts.Parameter(negative='')] = False,
    connection: options.Connection = _DEFAULT_CONNECTION,
) -> int:
    """Show which revision is in force and which entries lag.

    Example: verbenastream show tariff-coding --control 10.0.0.1:8002

    Parameters
    ----------
    service
        Name of the service.
    document
        Print only the current document, ready to be edited.
    """
    response = transport.run(
        connection.target(),
        transport.Call('GET', f'/v1/documents/{service}'),
        messages.DocumentReply,
    )
    if document:
        output.show_json(response.document)
    elif connection.json:
        output.show_json(response)
    else:
        output.show_in_force(response.status)
        print(f'  submitted {output.format_time(response.submitted_at)}')
    return exit_codes.ExitCode.OK


@app.command
def history(
    service: str, *, connection: options.Connection = _DEFAULT_CONNECTION
) -> int:
    """List the kept revisions of a service.

    Example: verbenastream history tariff-coding --control 10.0.0.1:8002

    Parameters
    ----------
    service
        Name of the service.
    """
    kept_revisions = transport.run(
        connection.target(),
        transport.Call('GET', f'/v1/history/{service}'),
        messages.History,
    )
    _show(connection, kept_revisions, output.show_history)
    return exit_codes.ExitCode.OK


@app.command
def diff(
    service: str,
    *,
    old: int | None = None,
    new: int | None = None,
    file: pathlib.Path | None = None,
    connection: options.Connection = _DEFAULT_CONNECTION,
) -> int:
    """Show the difference between two revisions, or to a file.

    Example: verbenastream diff tariff-coding --file tariff.json
    --control 10.0.0.1:8002

    Parameters
    ----------
    service
        Name of the service.
    old
        The older revision; the current one if a file is given, else the one
        before the newer revision.
    new
        The newer revision; the current one if left out.
    file
        Compare with this document instead of a newer revision.
    """
    target = connection.target()
    if file is not None:
        before = _fetch_revision(target, service, old)
        data = options.read_file(file, 'document')
        after = documents.check_document(data, str(file), service)
    else:
        newer = _fetch_revision(target, service, new)
        earlier = newer.revision - 1 if old is None else old
        before = _fetch_revision(target, service, earlier)
        after = newer.document
    changes = documents.compare_documents(before.document, after)
    _show(connection, changes, _print_lines)
    return exit_codes.ExitCode.DIFFERENT if changes else exit_codes.ExitCode.OK


@app.command
def status(*, connection: options.Connection = _DEFAULT_CONNECTION) -> int:
    """Show replicas, entries and pools, and why each pool has its size.

    Example: verbenastream status --control 10.0.0.1:8002
    """
    response = transport.run(
        connection.target(),
        transport.Call('GET', '/v1/status'),
        messages.Status,
    )
    _show(connection, response, output.show_status)
    return exit_codes.ExitCode.OK


@app.command
def check(
    file: pathlib.Path,
    *,
    kind: checking.FileKind | None = None,
    json: Annotated[bool, cyclopts.Parameter(negative='')] = False,
) -> int:
    """Check a document or a settings file offline.

    Example: verbenastream check tariff.json

    Parameters
    ----------
    file
        The JSON file.
    kind
        What the file is; guessed from its keys if left out.
    json
        Print JSON instead of text.
    """
    checked_kind = checking.check_file(file, kind)
    if json:
        output.show_json({'file': str(file), 'kind': checked_kind.value})
    else:
        print(f'{file}: valid {checked_kind.value}')
    return exit_codes.ExitCode.OK


def _show(
    connection: options.Connection,
    value: Any,
    print_text: Callable[[Any], None],
) -> None:
    if connection.json:
        output.show_json(value)
    else:
        print_text(value)


def _print_lines(lines: tuple[Any, ...]) -> None:
    for line in lines:
        print(line)


def _fetch_revision(
    target: transport.Target, service: str, revision: int | None
) -> messages.HistoryDocument:
    if revision is not None:
        return transport.run(
            target,
            transport.Call('GET', f'/v1/history/{service}/{revision}'),
            messages.HistoryDocument,
        )
    response = transport.run(
        target,
        transport.Call('GET', f'/v1/documents/{service}'),
        messages.DocumentReply,
    )
    return messages.HistoryDocument(
        response.revision, response.submitted_at, response.document
    )


def run(arguments: list[str]) -> int:
    """Run one command and return its exit code."""
    as_json = '--json' in arguments
    try:
        code = app(
            arguments, exit_on_error=False, result_action='return_value'
        )
        return int(code or 0)
    except cyclopts.CycloptsError:
        return exit_codes.ExitCode.USAGE
    except errors.ClientError as error:
        return output.print_error(error, as_json)
    except base_errors.InvalidInputGroup as group:
        return output.print_error(output.invalid_input_error(group), as_json)
    except base_errors.VerbenastreamError as error:
        wrapped = errors.ClientError(
            exit_codes.ExitCode.USAGE, error.message, error.remedy
        )
        return output.print_error(wrapped, as_json)


def main() -> None:
    """Entry point of the installed command."""
    sys.exit(run(sys.argv[1:]))
