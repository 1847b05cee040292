"""Implementation of ``PeerPort`` over ZeroMQ and curio."""

from __future__ import annotations

import curio
import zmq

from ospreyford.peers.connections import PeerConnections
from ospreyford.peers.counters import PeerCounters
from ospreyford.peers.envelope import compute_incarnation_hash
from ospreyford.peers.errors import AddressUnavailable
from ospreyford.peers.expiry import PAUSE_CHECK_INTERVAL_SECONDS
from ospreyford.peers.requester import Requester
from ospreyford.peers.responder import Responder
from ospreyford.peers.settings import PeerSettings
from ospreyford.peers.sockets import open_socket, read_forever
from ospreyford.ports.peers import Handler
from ospreyford.security.keyring import Keyring


class PeerNode:
    """Peer messaging endpoint of one process.

    A ROUTER socket serves requests at the peer address. A DEALER socket per
    peer is opened on first use and closed when idle, over the connection
    limit, or after a request without a response.

    :param settings: address and limits.
    :param incarnation: this process's incarnation.
    :param keyring: authenticates messages.
    """

    def __init__(
        self,
        settings: PeerSettings,
        incarnation: str,
        keyring: Keyring | None = None,
    ) -> None:
        ring = keyring or Keyring()
        self.counters = PeerCounters()
        self.address = settings.address
        own_hash = compute_incarnation_hash(incarnation)
        self._context: zmq.Context[zmq.Socket[bytes]] = zmq.Context()
        self._router = open_socket(self._context, zmq.ROUTER, settings)
        self._connections = PeerConnections(
            self._context, settings, self.counters
        )
        self._requester = Requester(
            self._connections, own_hash, settings, self.counters, ring
        )
        self._responder = Responder(
            self._router, own_hash, settings, self.counters, ring
        )
        self._tasks: list[curio.Task] = []

    async def start(self) -> None:
        """Bind the peer address and start serving requests.

        :raises AddressUnavailable: the address could not be bound.
        """
        try:
            self._router.bind(f'tcp://{self.address}')
        except zmq.ZMQError as error:
            raise AddressUnavailable(self.address, str(error)) from error
        endpoint = self._router.get_string(zmq.LAST_ENDPOINT)
        self.address = endpoint.removeprefix('tcp://')
        reader = read_forever(self._router, self._responder.handle_frames)
        self._tasks = [
            await curio.spawn(reader, daemon=True),
            await curio.spawn(self._run_maintenance(), daemon=True),
        ]

    async def ask(
        self,
        address: str,
        topic: str,
        body: bytes,
        timeout: float,
    ) -> bytes | None:
        """Send a request and wait for its response; see ``PeerPort``.

        :param address: the peer, as ``ip:port``.
        :param topic: topic of the handler.
        :param body: the encoded request.
        :param timeout: seconds, by this process's monotonic clock.
        :returns: the encoded response, or ``None`` on timeout.
        """
        return await self._requester.ask(address, topic, body, timeout)

    def serve(self, topic: str, handler: Handler) -> None:
        """Register the handler of a topic; see ``PeerPort``.

        :param topic: the topic's name, unique in this process.
        :param handler: called once per request.
        :raises TopicTaken: the topic already has a handler.
        """
        self._responder.serve(topic, handler)

    def count_connections(self) -> int:
        """Count the open connections to peers.

        :returns: the number of connections.
        """
        return len(self._connections)

    async def stop(self) -> None:
        """Close all sockets; pending requests get no response."""
        while self._tasks:
            await self._tasks.pop().cancel()
        await self._responder.stop()
        await self._connections.close()
        self._router.close(linger=0)
        self._context.destroy(linger=0)

    async def _run_maintenance(self) -> None:
        while True:
            await curio.sleep(PAUSE_CHECK_INTERVAL_SECONDS)
            self._responder.pause_detector.record_tick()
            await self._connections.retire_idle()
