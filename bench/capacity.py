"""Measures the slopes again and rewrites the figures of docs/CAPACITY.md.

The page's text stands here beside the figures that it quotes, so that the
two cannot part.
"""

import pathlib
import platform

from . import allowance_cost
from . import control_cost
from . import slopes

PAGE = pathlib.Path(__file__).parent.parent / 'docs' / 'CAPACITY.md'
TEXT = pathlib.Path(__file__).parent / 'capacity.md.in'

NODES = 480
REGIONS = 17
NODES_A_REGION = 28
ORGANISATIONS = 530
KEYS = 10000
CHANGES_A_DAY = 21000
REQUESTS = 44000
TOKENS = 17_000_000
RUNNERS = 3800
DAY_SECONDS = 86400
# From make bench, which runs the gateway as a process of its own.
REQUEST_SECONDS = 1.37e-3
CHUNK_SECONDS = 152e-6
CHUNK_TOGETHER_SECONDS = 38e-6
STREAM_BYTES = 55 * 1024


def measure_gossip() -> dict:
    by_region = [(r, slopes.gossip_cost(r, 8)) for r in (3, 6, 9, 13, 17)]
    by_mates = [(c, slopes.gossip_cost(3, c)) for c in (4, 8, 16, 28)]
    bytes_region = slopes.fit([(r, cost[0]) for r, cost in by_region])
    bytes_mate = slopes.fit([(c, cost[0]) for c, cost in by_mates])
    cpu_region = slopes.fit([(r, cost[1]) for r, cost in by_region])
    cpu_mate = slopes.fit([(c, cost[1]) for c, cost in by_mates])
    return {
        'gossip_region_bytes': bytes_region[0],
        'gossip_region_fit': bytes_region[2],
        'gossip_mate_bytes': bytes_mate[0],
        'gossip_mate_fit': bytes_mate[2],
        'gossip_bytes': extend(bytes_region, bytes_mate),
        'gossip_cpu_percent': 100 * extend(cpu_region, cpu_mate),
    }


def extend(by_region: tuple, by_mates: tuple) -> float:
    """Returns the cost at full size, from 17 regions of 8 VMs to 28."""
    at_eight = by_region[0] * REGIONS + by_region[1]
    return at_eight + by_mates[0] * (NODES_A_REGION - 8)


def measure_configuration() -> dict:
    sizes = [(53, 1000), (265, 5000), (530, 10000)]
    costs = [slopes.configuration_cost(*size) for size in sizes]
    full = costs[-1]
    listed = slopes.fit(
        [(s[1], c['list_bytes']) for s, c in zip(sizes, costs, strict=True)]
    )
    per_second = CHANGES_A_DAY / DAY_SECONDS
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
    found = {}
    for count in (1, 3, 5):
        cost = slopes.commit_cost(count)
        found.update({f'commit{count}_{k}': v for k, v in cost.items()})
    return found


def measure_allowance() -> dict:
    """Measures what a VM sends, by the organisations active on it."""
    found = {}
    requests = REQUESTS / NODES
    for active in (5, 20, 92):
        cost = allowance_cost.measure(active, requests)
        found[f'allowance{active}_bytes'] = cost.bytes_a_second
        found[f'allowance{active}_messages'] = cost.messages_a_second
    return found


def measure_messages() -> dict:
    call = control_cost.message_cost(8)
    told_one = control_cost.message_cost(8, is_answered=False)
    poll = control_cost.poll_cost()
    sizes = [(8, 64), (16, 128), (28, 224)]
    shared = [control_cost.share_polls(*size) for size in sizes]
    told = slopes.fit(
        [(size[0], one.size) for size, one in zip(sizes, shared, strict=True)]
    )
    full = shared[-1]
    both = call.sender + call.receiver
    return {
        'call_sender_us': call.sender * 1e6,
        'call_receiver_us': call.receiver * 1e6,
        'poll_us': poll.sender * 1e6,
        'polls_second': full.polls,
        'told_second': full.messages,
        'told_bytes': full.size,
        'told_mate_bytes': told[0],
        'told_fit': told[2],
        'polls_cpu_percent': 100 * full.polls * poll.sender,
        'told_cpu_percent': 100
        * full.messages
        * (told_one.sender + told_one.receiver),
        'notify_sender_us': told_one.sender * 1e6,
        'notify_receiver_us': told_one.receiver * 1e6,
        'call_both': both,
        'call_receiver': call.receiver,
    }


def derive(figures: dict) -> dict:
    """Returns what follows at the full size from the slopes."""
    grant = slopes.bucket_cost(ORGANISATIONS)
    requests = REQUESTS / NODES
    chunks = TOKENS / NODES
    others = NODES_A_REGION - 1
    asked = others * figures['allowance20_messages']
    asked_most = others * figures['allowance92_messages']
    # At most one grant for each request.
    takes = requests * NODES_A_REGION
    return {
        'grant_us': grant * 1e6,
        'requests_node': requests,
        'chunks_node': chunks,
        'request_cores': requests * REQUEST_SECONDS,
        'chunk_cores': chunks * CHUNK_SECONDS,
        'chunk_together_cores': chunks * CHUNK_TOGETHER_SECONDS,
        'streams_node': requests * 5.8,
        'stream_memory': requests * 5.8 * STREAM_BYTES,
        'takes_second': takes,
        'take_cpu_percent': 100 * takes * grant,
        'keys_node': KEYS / NODES,
        'asked_second': asked,
        'asked_most_second': asked_most,
        'asked_cpu_percent': 100 * asked * figures['call_receiver'],
        'asked_most_cpu_percent': 100 * asked_most * figures['call_receiver'],
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
        'runners_node': RUNNERS / REGIONS,
        'edits_bytes': 10000 * 260,
        'control_memory': figures['configuration_memory'] * 2
        + 5000 * 700
        + 10000 * 400,
        'CHANGES': CHANGES_A_DAY / DAY_SECONDS,
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
    figures.update(derive(figures))
    for name, value in figures.items():
        print(name, value)
    PAGE.write_text(TEXT.read_text().format(**figures))


if __name__ == '__main__':
    main()
