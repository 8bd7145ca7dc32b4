"""Simulates network partitions between VMs, in one or both directions."""

import dataclasses
import functools

import anyio

from greengagegw.adapters import peer_mesh
from greengagegw.adapters import peer_socket


@dataclasses.dataclass(frozen=True)
class Link:
    """One direction between two VMs."""

    sender: str
    receiver: str


class Network:
    """Keeps the cut links, which drop all data sent over them."""

    def __init__(self) -> None:
        self.cut_links: set[Link] = set()

    def cut(self, ones: list[str], others: list[str]) -> None:
        """Cuts all links between two sets of VMs, in both directions."""
        for one in ones:
            for other in others:
                self.cut_links.add(Link(one, other))
                self.cut_links.add(Link(other, one))

    def cut_one_way(self, senders: list[str], receivers: list[str]) -> None:
        for sender in senders:
            for receiver in receivers:
                self.cut_links.add(Link(sender, receiver))

    def heal(self) -> None:
        self.cut_links.clear()

    def attach(self, mesh: peer_mesh.PeerMesh) -> None:
        """Routes the outgoing connections of a mesh through this network."""
        own_vm = mesh.settings.vm
        vms_by_address = {
            (str(peer.host), peer.port): peer.vm
            for peer in mesh.settings.peers
        }

        async def connect(host: str, port: int) -> peer_socket.PeerSocket:
            peer = vms_by_address[host, port]
            both = {Link(own_vm, peer), Link(peer, own_vm)}
            if both & self.cut_links:
                await anyio.sleep(0.05)
                raise OSError('simulated network partition')
            make_socket = functools.partial(
                DroppingSocket, self, Link(own_vm, peer), Link(peer, own_vm)
            )
            return await peer_socket.connect(host, port, make_socket)

        mesh.connect_socket = connect


class DroppingSocket(peer_socket.PeerSocket):
    """A connection that drops data once its link has been cut.

    Dropped bytes leave a gap in the stream, so the direction keeps dropping
    data after the link is healed.
    """

    def __init__(
        self, network: Network, outgoing: Link, incoming: Link
    ) -> None:
        super().__init__()
        self.network = network
        self.outgoing = outgoing
        self.incoming = incoming
        self.drops_outgoing = False
        self.drops_incoming = False

    def write(self, data: bytes) -> None:
        self.drops_outgoing |= self.outgoing in self.network.cut_links
        if not self.drops_outgoing:
            super().write(data)

    def data_received(self, data: bytes) -> None:
        self.drops_incoming |= self.incoming in self.network.cut_links
        if not self.drops_incoming:
            super().data_received(data)
