"""The holds commands, for requests under which backend servers end."""

import click

from . import operator_client


@click.group()
def holds() -> None:
    """Lists and lifts holds on requests that end backend servers."""


@holds.command('list')
@operator_client.with_client
@operator_client.output_option
def list_(client: operator_client.OperatorClient, output: str) -> None:
    """Lists what is held back, since when and why."""
    held = client.request('GET', '/admin/held-prompts').json()
    lines = [
        f'{one["id"]}  {one["service"]:20}  {one["since"]}'
        f'  {one["reason"]}: {", ".join(one["servers"])}'
        for one in held['held']
    ]
    operator_client.print_result(held, output, '\n'.join(lines))


@holds.command()
@operator_client.with_client
@operator_client.output_option
@click.argument('hold_id')
def lift(
    client: operator_client.OperatorClient, output: str, hold_id: str
) -> None:
    """Lifts a hold, on all VMs."""
    outcome = client.request('DELETE', f'/admin/held-prompts/{hold_id}').json()
    operator_client.print_result(outcome, output, f'{hold_id} is lifted')
