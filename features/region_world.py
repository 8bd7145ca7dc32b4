"""Entry VMs of one region that exchange backlogs, in simulated time.

Each VM reports work at a server of its own, with the time as the tokens. So
the age of each backlog that a VM knows can be read from its total, and
backlogs that are missing or counted twice are seen.
"""

import collections
import heapq
import itertools
import math
import random

from greengagegw.serving import region_relays
from greengagegw.serving import region_reports

DELAY_SECONDS = 0.001
# Time for which a VM that failed is still listed.
LISTED_SECONDS = 2.5
# A changed list reaches the VMs one by one, with their polls.
POLL_SECONDS = 0.5
START_SECONDS = 1000.0
# A tick is late by up to this time, as in a process that is busy.
TICK_JITTER_SECONDS = 0.005
# A VM that has just started knows the others, and is known, after its first
# poll, the first report and the handover of its relays.
JOIN_SECONDS = 1.5


class RegionWorld:
    """The VMs ``v0``, ``v1`` ... of a region.

    :ivar lost_links: sender and recipient of messages that are lost.
    :ivar frozen: VMs that do nothing; their messages wait.
    :ivar sent: messages by sender.
    :ivar links: pairs of VMs that exchanged a message.
    """

    def __init__(self, count, is_busy=True, seed=1):
        self.rng = random.Random(seed)
        self.now = START_SECONDS
        self.is_busy = is_busy
        self.busy_vms = set()
        self.order = itertools.count()
        self.events = []
        self.nodes = {}
        self.listed = []
        self.leaving = set()
        self.started_at = {}
        self.ticks = {}
        self.frozen = {}
        self.lost_links = set()
        self.sent = collections.Counter()
        self.received = collections.Counter()
        self.links = collections.defaultdict(set)
        for at in range(count):
            self.start(f'v{at}')

    def at(self, time, function, *arguments):
        heapq.heappush(
            self.events, (time, next(self.order), function, arguments)
        )

    def start(self, vm):
        node = region_relays.RegionRelays(vm, round(self.now * 1000))
        self.nodes[vm] = node
        self.started_at[vm] = self.now
        if vm not in self.listed:
            self.listed.append(vm)
        self.leaving.discard(vm)
        self.ticks.pop(vm, None)
        self.at(self.now, self.poll, vm, node, None)

    def kill(self, vm):
        del self.nodes[vm]
        self.at(self.now + LISTED_SECONDS, self.unlist, vm)

    def restart_all(self, batch_size):
        """Starts a rolling restart, and returns its duration."""
        vms = list(self.nodes)
        for at, vm in enumerate(vms):
            time = self.now + 2.0 * (at // batch_size)
            self.at(time, self.leaving.add, vm)
            self.at(time + 3.0, self.stop, vm)
            self.at(time + 4.0, self.start, vm)
        return 2.0 * len(vms) / batch_size + 4.0

    def stop(self, vm):
        for recipient, message in self.nodes.pop(vm).leave():
            self.send(vm, recipient, message)

    def unlist(self, vm):
        if vm not in self.nodes and vm in self.listed:
            self.listed.remove(vm)

    def freeze(self, vm, seconds):
        self.frozen[vm] = self.now + seconds
        self.at(self.now + LISTED_SECONDS, self.unlist_frozen, vm)
        self.at(self.now + seconds, self.thaw, vm)

    def unlist_frozen(self, vm):
        if vm in self.frozen and vm in self.listed:
            self.listed.remove(vm)

    def thaw(self, vm):
        self.frozen.pop(vm, None)
        if vm not in self.listed:
            self.listed.append(vm)

    def poll(self, vm, node, known):
        if self.nodes.get(vm) is not node:
            return
        listed = (
            sorted(self.listed),
            [one for one in self.listed if one not in self.leaving],
        )
        if vm not in self.frozen and listed != known:
            known = listed
            node.update_vms(*listed)
            self.schedule(vm, node, self.now + region_relays.MIN_TICK_SECONDS)
        self.at(
            self.now + POLL_SECONDS * (0.5 + self.rng.random() / 2),
            self.poll,
            vm,
            node,
            known,
        )

    def begin_requests(self, vms):
        """Has VMs report work from now on."""
        self.busy_vms.update(vms)
        for vm in vms:
            self.schedule(
                vm, self.nodes[vm], self.now + region_relays.MIN_TICK_SECONDS
            )

    def tick(self, vm, node):
        if self.nodes.get(vm) is not node:
            return
        if vm in self.frozen:
            self.at(self.frozen[vm], self.tick, vm, node)
            return
        self.ticks.pop(vm, None)
        own = region_reports.Report()
        if self.is_busy or vm in self.busy_vms:
            own.servers[f's-{vm}'] = {'tokens': self.now, 'requests': 1.0}
        for recipient, message in node.tick(own, self.now):
            self.send(vm, recipient, message)
        self.schedule(vm, node, node.due_at)

    def schedule(self, vm, node, due_at):
        """Schedules the next tick of a VM, as its backlog exchange does."""
        if due_at >= self.ticks.get(vm, math.inf):
            return
        self.ticks[vm] = due_at
        # A process that is busy is late.
        late = self.rng.random() * TICK_JITTER_SECONDS
        self.at(due_at + late, self.tick_if_due, vm, node, due_at)

    def tick_if_due(self, vm, node, due_at):
        if self.ticks.get(vm) == due_at:
            self.tick(vm, node)

    def send(self, sender, recipient, message):
        self.sent[sender] += 1
        self.links[sender].add(recipient)
        self.links[recipient].add(sender)
        if (sender, recipient) not in self.lost_links:
            delay = DELAY_SECONDS * (0.5 + self.rng.random())
            self.at(self.now + delay, self.deliver, recipient, message)

    def deliver(self, recipient, message):
        node = self.nodes.get(recipient)
        if node is None:
            return
        if recipient in self.frozen:
            self.at(self.frozen[recipient], self.deliver, recipient, message)
            return
        self.received[recipient] += 1
        if isinstance(message, region_relays.MemberReport):
            node.on_report(message, self.now)
        elif isinstance(message, region_relays.Total):
            node.on_total(message, self.now)
        else:
            node.on_sum(message, self.now)
        due_at = min(one.due_at for one in (*node.relays, node))
        self.schedule(
            recipient,
            node,
            max(due_at, self.now + region_relays.MIN_TICK_SECONDS),
        )

    def run(self, seconds):
        until = self.now + seconds
        while self.events and self.events[0][0] <= until:
            self.now, _, function, arguments = heapq.heappop(self.events)
            function(*arguments)
        self.now = until

    def known_by(self, vm):
        total = self.nodes[vm].total
        return {} if total is None else total.message.report.servers

    def max_age(self, excluded=()):
        """Returns the age of the oldest backlog that any VM knows, and whose.

        A backlog that is not known or counted twice, and a VM's own backlog
        in its total, has an infinite age.

        :param excluded: VMs that know nothing, and are not known, by design.
        """
        worst = (0.0, None, None)
        vms = [
            vm
            for vm in self.nodes
            if vm not in excluded
            and vm not in self.frozen
            and self.now - self.started_at[vm] > JOIN_SECONDS
        ]
        for vm in vms:
            known = self.known_by(vm)
            if f's-{vm}' in known:
                worst = (float('inf'), vm, vm)
            for other in vms:
                if other == vm:
                    continue
                values = known.get(f's-{other}')
                if values is None:
                    age = float('inf')
                else:
                    # Counted twice, the sum of two times is the token number.
                    age = self.now - values['tokens'] / values['requests']
                    if values['requests'] != 1:
                        age = float('inf')
                if age > worst[0]:
                    worst = (age, vm, other)
        return worst

    def watch(self, seconds, excluded=()):
        """Runs for some time, and returns the oldest age on the way."""
        worst = (0.0, None, None)
        for _ in range(round(seconds / 0.05)):
            self.run(0.05)
            worst = max(
                worst, (*self.max_age(excluded), self.now), key=lambda w: w[0]
            )
        return worst

    def busiest_relay(self, plane):
        """Returns the relay of a plane with the most members."""
        return max(
            self.nodes,
            key=lambda vm: len(self.nodes[vm].relays[plane].reports),
        )
