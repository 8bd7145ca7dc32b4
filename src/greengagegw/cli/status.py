"""The status command, which shows the state of a deployment."""

import click

from . import operator_client


@click.command()
@operator_client.with_client
@operator_client.output_option
def status(client: operator_client.OperatorClient, output: str) -> None:
    """Shows the state of a VM, and of its peers as this VM sees them."""
    content = client.request('GET', '/admin/status').json()
    lines = [
        f'{content["vm"]} in {content["region"]},'
        f' {"ready" if content["ready"] else "not ready"},'
        f' version {content["version"]}',
        f'configuration: revision {content["revision"]}'
        f' (table {content["table_revision"]})'
        f' from {content["configuration_from"] or "no source yet"}',
        f'requests in flight: {content["requests_in_flight"]}',
    ]
    for name, replica in sorted(content['replicas'].items()):
        line = (
            f'replica of {name}: {replica["role"]}, leader {replica["leader"]}'
        )
        if replica['failure']:
            line += f', FAILED: {replica["failure"]}'
        lines.append(line)
    for name, vm in sorted(content['vms'].items()):
        state = 'alive' if vm['alive'] else 'silent'
        if vm['alive'] and not vm['takes_callers']:
            state = 'leaving'
        lines.append(f'VM {name}: {state}')
    for name, server in sorted(content['backend_servers'].items()):
        state = 'leaving' if server['leaving'] else 'in use'
        if server['ejected']:
            state = 'ejected'
        lines.append(
            f'backend server {name}: {state},'
            f' load {server["load"]:g} of {server["room"]:g}'
        )
    operator_client.print_result(content, output, '\n'.join(lines))
