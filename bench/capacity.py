"""Measures costs and writes docs/CAPACITY.md from a template.

The template is next to this module, so that the text and the figures that
it quotes stay consistent.
"""

import pathlib
import platform

from . import allowance_cost
from . import control_cost
from . import slopes

PAGE = pathlib.Path(__file__).parent.parent / 'docs' / 'CAPACITY.md'
TEMPLATE = pathlib.Path(__file__).parent / 'capacity.md.in'

NODES = 480
REGIONS = 17
NODES_PER_REGION = 28
ORGANISATIONS = 530
KEYS = 10000
CHANGES_PER_DAY = 21000
REQUESTS = 44000
TOKENS = 17_000_000
BACKEND_SERVERS = 3800
DAY_SECONDS = 86400
# From make bench, which runs the gateway as a separate process.
REQUEST_SECONDS = 1.37e-3
CHUNK_SECONDS = 152e-6
CHUNK_TOGETHER_SECONDS = 38e-6
STREAM_BYTES = 55 * 1024


def measure_gossip() -> dict:
    by_region = [(r, slopes.gossip_cost(r, 8)) for r in (3, 6, 9, 13, 17)]
    by_vms = [(c, slopes.gossip_cost(3, c)) for c in (4, 8, 16, 28)]
    bytes_region = slopes.fit([(r, cost[0]) for r, cost in by_region])
    bytes_vm = slopes.fit([(c, cost[0]) for c, cost in by_vms])
    cpu_region = slopes.fit([(r, cost[1]) for r, cost in by_region])
    cpu_vm = slopes.fit([(c, cost[1]) for c, cost in by_vms])
    return {
        'gossip_region_bytes': bytes_region[0],
        'gossip_region_fit': bytes_region[2],
        'gossip_mate_bytes': bytes_vm[0],
        'gossip_mate_fit': bytes_vm[2],
        'gossip_bytes': extrapolate_gossip(bytes_region, bytes_vm),
        'gossip_cpu_percent': 100 * extrapolate_gossip(cpu_region, cpu_vm),
    }


def extrapolate_gossip(by_region: tuple, by_vms: tuple) -> float:
    """Returns the cost at full size.

    :param by_region: linear fit by the number of regions, with 8 VMs each.
    :param by_vms: linear fit by the number of VMs in each region.
    """
    with_8_vms = by_region[0] * REGIONS + by_region[1]
    return with_8_vms + by_vms[0] * (NODES_PER_REGION - 8)


def measure_configuration() -> dict:
    sizes = [(53, 1000), (265, 5000), (530, 10000)]
    costs = [slopes.configuration_cost(*size) for size in sizes]
    full = costs[-1]
    listed = slopes.fit(
        [(s[1], c['list_bytes']) for s, c in zip(sizes, costs, strict=True)]
    )
    per_second = CHANGES_PER_DAY / DAY_SECONDS
    return {
        'list_key_bytes': listed[0],
        'list_fit': listed[2],
        'list_bytes': full['list_bytes'],
        'event_bytes': full['event_bytes'],
        'configuration_memory': full['memory_bytes'],
        'change_us': full['change_seconds'] * 1e6,
        'watch_bytes_second': per_second * (full['event_bytes'] + 80),
        'watch_cpu_percent': 100 * per_second * full['change_seconds'],
        'poll_bytes_second': full['list_bytes'] / 20,
    }


def measure_ledger() -> dict:
    costs = [(n, slopes.claim_cost(n)) for n in (1000, 5000, 20000)]
    recovery = [(n, slopes.recovery_seconds(n)) for n in (1000, 5000, 20000)]
    slope = slopes.fit(recovery)
    return {
        'claim_bytes': costs[-1][1][0],
        'claim_us': costs[1][1][1] * 1e6,
        'recovery_us': slope[0] * 1e6,
        'recovery_fit': slope[2],
    }


def measure_commits() -> dict:
    measured = {}
    for count in (1, 3, 5):
        cost = slopes.commit_cost(count)
        measured.update({f'commit{count}_{k}': v for k, v in cost.items()})
    return measured


def measure_allowance() -> dict:
    """Measures the quota messages of a VM by its active organisations."""
    measured = {}
    requests = REQUESTS / NODES
    for active in (5, 20, 92):
        cost = allowance_cost.measure(active, requests)
        measured[f'allowance{active}_bytes'] = cost.bytes_a_second
        measured[f'allowance{active}_messages'] = cost.messages_a_second
    return measured


def measure_messages() -> dict:
    call = control_cost.message_cost(8)
    notification = control_cost.message_cost(8, has_response=False)
    poll = control_cost.poll_cost()
    sizes = [(8, 64), (16, 128), (28, 224)]
    rates = [control_cost.polling_rates(*size) for size in sizes]
    told_fit = slopes.fit(
        [(size[0], one.size) for size, one in zip(sizes, rates, strict=True)]
    )
    full = rates[-1]
    both = call.sender + call.receiver
    return {
        'call_sender_us': call.sender * 1e6,
        'call_receiver_us': call.receiver * 1e6,
        'poll_us': poll.sender * 1e6,
        'polls_second': full.polls,
        'told_second': full.messages,
        'told_bytes': full.size,
        'told_mate_bytes': told_fit[0],
        'told_fit': told_fit[2],
        'polls_cpu_percent': 100 * full.polls * poll.sender,
        'told_cpu_percent': 100
        * full.messages
        * (notification.sender + notification.receiver),
        'notify_sender_us': notification.sender * 1e6,
        'notify_receiver_us': notification.receiver * 1e6,
        'call_both': both,
        'call_receiver': call.receiver,
    }


def extrapolate(figures: dict) -> dict:
    """Returns the costs at full size, computed from the measurements."""
    grant_seconds = slopes.bucket_cost(ORGANISATIONS)
    requests = REQUESTS / NODES
    chunks = TOKENS / NODES
    others = NODES_PER_REGION - 1
    calls = others * figures['allowance20_messages']
    max_calls = others * figures['allowance92_messages']
    # One grant for each request is the maximum.
    grants = requests * NODES_PER_REGION
    return {
        'grant_us': grant_seconds * 1e6,
        'requests_node': requests,
        'chunks_node': chunks,
        'request_cores': requests * REQUEST_SECONDS,
        'chunk_cores': chunks * CHUNK_SECONDS,
        'chunk_together_cores': chunks * CHUNK_TOGETHER_SECONDS,
        'streams_node': requests * 5.8,
        'stream_memory': requests * 5.8 * STREAM_BYTES,
        'takes_second': grants,
        'take_cpu_percent': 100 * grants * grant_seconds,
        'keys_node': KEYS / NODES,
        'asked_second': calls,
        'asked_most_second': max_calls,
        'asked_cpu_percent': 100 * calls * figures['call_receiver'],
        'asked_most_cpu_percent': 100 * max_calls * figures['call_receiver'],
        'allowance_cpu_percent': 100
        * figures['allowance20_messages']
        * figures['call_both'],
        'control_bytes': figures['gossip_bytes']
        + figures['watch_bytes_second']
        + figures['allowance20_bytes']
        + figures['told_bytes'],
        'control_cpu_percent': figures['gossip_cpu_percent']
        + figures['polls_cpu_percent']
        + figures['told_cpu_percent']
        + 100 * figures['allowance20_messages'] * figures['call_both'],
        'runners_node': BACKEND_SERVERS / REGIONS,
        'edits_bytes': 10000 * 260,
        'control_memory': figures['configuration_memory'] * 2
        + 5000 * 700
        + 10000 * 400,
        'CHANGES': CHANGES_PER_DAY / DAY_SECONDS,
        'RESTART_BYTES': 1200 * figures['list_bytes'] / DAY_SECONDS,
        'machine': f'{platform.machine()}, Python {platform.python_version()}',
    }


def main() -> None:
    figures = {
        **measure_gossip(),
        **measure_configuration(),
        **measure_ledger(),
        **measure_commits(),
        **measure_allowance(),
        **measure_messages(),
    }
    figures.update(extrapolate(figures))
    for name, value in figures.items():
        print(name, value)
    PAGE.write_text(TEMPLATE.read_text().format(**figures))


if __name__ == '__main__':
    main()
