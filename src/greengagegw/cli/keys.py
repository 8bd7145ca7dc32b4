"""Commands on callers' keys."""

import datetime
import uuid

import click
import orjson

from .. import errors
from .. import keys as key_records
from . import remote as remotes


@click.group()
def keys() -> None:
    """Gives, withdraws and lists callers' keys."""


@keys.command()
@remotes.with_remote
@remotes.output_option
@click.argument('organisation')
def give(remote: remotes.Remote, output: str, organisation: str) -> None:
    """Gives a key to an organisation and shows it, once.

    The key is made here, and only its digest leaves this machine.
    """
    key_id, key, digest = key_records.generate_key()
    body = {'organisation': organisation, 'id': key_id, 'digest': digest}
    headers = {'x-edit-id': uuid.uuid4().hex}
    ask_twice(remote, orjson.dumps(body), headers)
    content = {'id': key_id, 'organisation': organisation, 'key': key}
    remotes.show(content, output, f'{key}')


def ask_twice(
    remote: remotes.Remote, body: bytes, headers: dict[str, str]
) -> None:
    """Sends an edit again if its answer was lost, which is safe."""
    try:
        remote.ask('POST', '/admin/keys', body, headers)
    except errors.PeerError:
        remote.ask('POST', '/admin/keys', body, headers)


@keys.command()
@remotes.with_remote
@remotes.output_option
@click.argument('key_id')
def withdraw(remote: remotes.Remote, output: str, key_id: str) -> None:
    """Withdraws a key, by its id or by the key itself."""
    match = key_records.KEY_PATTERN.match(key_id)
    if match is not None:
        key_id = match[1]
    outcome = remote.ask('DELETE', f'/admin/keys/{key_id}').json()
    text = f'{key_id} is withdrawn'
    if not outcome['durable']:
        text += ', and will be durable when a majority of disks is reached'
    remotes.show(outcome, output, text)


@keys.command('list')
@remotes.with_remote
@remotes.output_option
def list_(remote: remotes.Remote, output: str) -> None:
    """Lists the keys by their ids."""
    found = remote.ask('GET', '/admin/keys').json()
    lines = []
    for one in sorted(found, key=lambda one: one['organisation']):
        moment = datetime.datetime.fromtimestamp(one['given_at'], datetime.UTC)
        state = 'withdrawn' if one['withdrawn'] else 'in use'
        lines.append(
            f'{one["id"]}  {one["organisation"]:30}'
            f'  {moment:%Y-%m-%d %H:%M}  {state}'
        )
    remotes.show(found, output, '\n'.join(lines))
