"""The status command."""

import click

from . import remote as remotes


@click.command()
@remotes.with_remote
@remotes.output_option
def status(remote: remotes.Remote, output: str) -> None:
    """Shows what a VM knows of itself and of the others."""
    content = remote.ask('GET', '/admin/status').json()
    lines = [
        f'{content["vm"]} in {content["region"]},'
        f' {"ready" if content["ready"] else "not ready"},'
        f' version {content["version"]}',
        f'configuration: revision {content["revision"]}'
        f' (table {content["table_revision"]})'
        f' from {content["configuration_from"] or "nowhere yet"}',
        f'requests in flight: {content["requests_in_flight"]}',
    ]
    for name, one in sorted(content['replicas'].items()):
        line = f'replica of {name}: {one["role"]}, leader {one["leader"]}'
        if one['failure']:
            line += f', FAILED: {one["failure"]}'
        lines.append(line)
    for name, one in sorted(content['vms'].items()):
        state = 'alive' if one['alive'] else 'silent'
        if one['alive'] and not one['takes_callers']:
            state = 'leaving'
        lines.append(f'VM {name}: {state}')
    for name, one in sorted(content['backend_servers'].items()):
        state = 'leaving' if one['leaving'] else 'in use'
        if one['ejected']:
            state = 'ejected'
        lines.append(
            f'backend server {name}: {state},'
            f' load {one["load"]:g} of {one["room"]:g}'
        )
    remotes.show(content, output, '\n'.join(lines))
