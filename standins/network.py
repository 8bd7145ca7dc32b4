"""Cuts the connections between VMs, loudly or silently, in each way."""

import dataclasses

import anyio
import anyio.abc

from greengagegw.adapters import peer_mesh


@dataclasses.dataclass(frozen=True)
class Link:
    """A way from one VM to another."""

    sender: str
    receiver: str


class Network:
    """Which links are cut; a cut link loses what is sent over it."""

    def __init__(self) -> None:
        self.cut_links: set[Link] = set()

    def cut(self, ones: list[str], others: list[str]) -> None:
        """Cuts every link between two sets of VMs, both ways."""
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
        """Makes a mesh's outgoing connections go through this network."""
        me = mesh.settings.vm
        names = {
            (str(peer.host), peer.port): peer.vm
            for peer in mesh.settings.peers
        }

        async def connect(host: str, port: int) -> anyio.abc.ByteStream:
            peer = names[host, port]
            both = {Link(me, peer), Link(peer, me)}
            if both & self.cut_links:
                await anyio.sleep(0.05)
                raise OSError('the link is cut')
            socket = await anyio.connect_tcp(host, port)
            return DroppingStream(socket, self, Link(me, peer), Link(peer, me))

        mesh.connect_socket = connect


class DroppingStream(anyio.abc.ByteStream):
    """A connection that goes silent while its link is cut.

    What is lost on a cut link leaves a gap, so after a cut the connection
    stays silent in that direction for good.
    """

    def __init__(
        self,
        socket: anyio.abc.ByteStream,
        network: Network,
        outgoing: Link,
        incoming: Link,
    ) -> None:
        self.socket = socket
        self.network = network
        self.outgoing = outgoing
        self.incoming = incoming
        self.drops_outgoing = False
        self.drops_incoming = False

    async def send(self, item: bytes) -> None:
        self.drops_outgoing |= self.outgoing in self.network.cut_links
        if not self.drops_outgoing:
            await self.socket.send(item)

    async def receive(self, max_bytes: int = 65536) -> bytes:
        while True:
            content = await self.socket.receive(max_bytes)
            self.drops_incoming |= self.incoming in self.network.cut_links
            if not self.drops_incoming:
                return content

    async def send_eof(self) -> None:
        await self.socket.send_eof()

    async def aclose(self) -> None:
        await self.socket.aclose()
