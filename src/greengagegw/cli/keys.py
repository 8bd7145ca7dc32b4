"""The keys commands, which manage API keys of clients."""

import datetime
import uuid

import click
import orjson

from .. import errors
from .. import keys as key_records
from . import operator_client


@click.group()
def keys() -> None:
    """Issues, withdraws and lists API keys."""


@keys.command()
@operator_client.with_client
@operator_client.output_option
@click.argument('organisation')
def give(
    client: operator_client.OperatorClient, output: str, organisation: str
) -> None:
    """Issues a key to an organisation and prints it, once.

    The key is generated on this machine; only its digest is sent.
    """
    key_id, key, digest = key_records.generate_key()
    body = {'organisation': organisation, 'id': key_id, 'digest': digest}
    headers = {'x-edit-id': uuid.uuid4().hex}
    request_with_retry(client, orjson.dumps(body), headers)
    content = {'id': key_id, 'organisation': organisation, 'key': key}
    operator_client.print_result(content, output, f'{key}')


def request_with_retry(
    client: operator_client.OperatorClient,
    body: bytes,
    headers: dict[str, str],
) -> None:
    """Sends an edit, and repeats it once if a VM fails to respond.

    The edit id makes the repetition safe.
    """
    try:
        client.request('POST', '/admin/keys', body, headers)
    except errors.PeerError:
        client.request('POST', '/admin/keys', body, headers)


@keys.command()
@operator_client.with_client
@operator_client.output_option
@click.argument('key_id')
def withdraw(
    client: operator_client.OperatorClient, output: str, key_id: str
) -> None:
    """Withdraws a key, by its id or by the key itself."""
    match = key_records.KEY_PATTERN.match(key_id)
    if match is not None:
        key_id = match[1]
    outcome = client.request('DELETE', f'/admin/keys/{key_id}').json()
    text = f'{key_id} is withdrawn'
    if not outcome['durable']:
        text += ' (durable once a majority of the disks has stored it)'
    operator_client.print_result(outcome, output, text)


@keys.command('list')
@operator_client.with_client
@operator_client.output_option
def list_(client: operator_client.OperatorClient, output: str) -> None:
    """Lists the ids of all keys, sorted by organisation."""
    records = client.request('GET', '/admin/keys').json()
    lines = []
    for record in sorted(records, key=lambda record: record['organisation']):
        given_at = datetime.datetime.fromtimestamp(
            record['given_at'], datetime.UTC
        )
        state = 'withdrawn' if record['withdrawn'] else 'in use'
        lines.append(
            f'{record["id"]}  {record["organisation"]:30}'
            f'  {given_at:%Y-%m-%d %H:%M}  {state}'
        )
    operator_client.print_result(records, output, '\n'.join(lines))
