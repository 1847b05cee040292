"""A rank group in one process: real members, a counted network."""

from __future__ import annotations

import sys
import time
from collections import Counter
from collections.abc import Coroutine
from typing import Any

import curio
import msgspec

from ospreyford.expertmap.maps import ExpertMap
from ospreyford.expertmap.ports import EngineStatus, Grant, OrderOutcome
from ospreyford.expertmap.readcredits import WeightLimits
from ospreyford.expertmap.service import EngineWeights, RankService
from ospreyford.expertmap.settings import RankSettings
from ospreyford.peers.envelope import PeerRequest, PeerResponse
from ospreyford.ports.clock import SystemClock
from ospreyford.ports.peers import Handler
from ospreyford.ports.weights import Experts, Inventory
from ospreyford.standins.rankengine import RankEngine

STEP_SECONDS = 0.005
#: One way between two availability zones of the pension office.
DELAY_SECONDS = 0.0015
LARGE_NUMBER = sys.maxsize
TIME_TO_LIVE = 250
CLOCK_MILLISECONDS = 86_400_000
EXPERTS = 64


class Network:
    """Carries questions between members and counts them by slot."""

    def __init__(self) -> None:
        self.handlers: dict[str, Handler] = {}
        self.messages: Counter[int] = Counter()
        self.sizes: Counter[int] = Counter()

    async def carry(
        self, slot: int, address: str, topic: str, body: bytes, timeout: float
    ) -> bytes | None:
        """Ask a member, with the delay of a network.

        :param slot: the asker.
        :param address: the member asked.
        :param topic: the group's topic.
        :param body: the question.
        :param timeout: seconds until a dead member counts as silent.
        :returns: the answer, or ``None``.
        """
        question = PeerRequest(
            LARGE_NUMBER,
            LARGE_NUMBER,
            topic,
            TIME_TO_LIVE,
            LARGE_NUMBER,
            CLOCK_MILLISECONDS,
            body,
        )
        self._count(slot, address, msgspec.msgpack.encode(question))
        await curio.sleep(DELAY_SECONDS)
        handler = self.handlers.get(address)
        body_back = None if handler is None else await handler(body)
        if body_back is None:
            await curio.sleep(timeout)
            return None
        await curio.sleep(DELAY_SECONDS)
        answer = PeerResponse(
            LARGE_NUMBER,
            LARGE_NUMBER,
            LARGE_NUMBER,
            CLOCK_MILLISECONDS,
            body_back,
        )
        self._count(slot, address, msgspec.msgpack.encode(answer))
        return body_back

    def _count(self, slot: int, address: str, message: bytes) -> None:
        for end in (slot, int(address)):
            self.messages[end] += 1
            self.sizes[end] += len(message)


class Member:
    """The ports of one member.

    :param slot: its place in the group.
    :param network: the network.
    :param engine: its engine.
    """

    def __init__(self, slot: int, network: Network, engine: RankEngine) -> None:
        self._slot = slot
        self._network = network
        self._engine = engine

    async def ask(
        self, address: str, topic: str, body: bytes, timeout: float
    ) -> bytes | None:
        """Ask a member; see ``PeerPort``."""
        return await self._network.carry(
            self._slot, address, topic, body, timeout
        )

    def serve(self, topic: str, handler: Handler) -> None:
        """Register the member's handler; see ``PeerPort``."""
        self._network.handlers[str(self._slot)] = handler

    async def grant(self, order: Grant) -> OrderOutcome:
        """Pass a grant on; see ``EnginePort``."""
        return self._engine.grant(order)

    async def halt(self, generation: int, fencing: int) -> OrderOutcome:
        """Pass a halt on; see ``EnginePort``."""
        return self._engine.halt(fencing)

    async def install_map(self, expert_map: ExpertMap, fencing: int) -> bool:
        """Pass a map on; see ``EnginePort``."""
        return self._engine.install(expert_map, fencing)

    async def read_status(self) -> EngineStatus:
        """Read the engine's progress; see ``EnginePort``."""
        return self._engine.read_status()

    async def load(self, experts: Experts, fencing: int) -> OrderOutcome:
        """Pass a load on; see ``WeightPort``."""
        return self._engine.load(sorted(experts), fencing)

    async def drop(self, experts: Experts, fencing: int) -> OrderOutcome:
        """Pass a drop on; see ``WeightPort``."""
        return self._engine.drop(experts, fencing)

    async def read_weights(self) -> Inventory:
        """Read what the engine holds; see ``WeightPort``."""
        return self._engine.read_weights()


class MeasuredGroup:
    """The members and their engines, stepping together.

    :param ranks: how many members.
    :param pace: the weight store's terms; ``None`` for engines that see to
        their weights themselves.
    """

    def __init__(self, ranks: int, pace: WeightLimits | None = None) -> None:
        self.ranks = ranks
        self.lacks = 0
        self._pace = pace
        self.network = Network()
        self.steps = 0
        self.stalls = 0
        self.revision = 0
        self.engine_seconds: float = 0
        self.services: dict[int, RankService] = {}
        self.engines = [RankEngine(str(rank)) for rank in range(ranks)]
        self._tasks: dict[int, curio.Task] = {}

    async def start(self, slot: int) -> None:
        """Start a member beside its engine.

        :param slot: its place.
        """
        settings = RankSettings(
            group='measured-group',
            slot=slot,
            addresses=tuple(map(str, range(self.ranks))),
        )
        member = Member(slot, self.network, self.engines[slot])
        pace = self._pace
        service = RankService(
            settings,
            member,
            SystemClock(),
            member,
            weights=None if pace is None else EngineWeights(member, pace),
        )
        if pace is not None:
            await curio.spawn(service.run_weights, daemon=True)
        self.services[slot] = service
        running: Coroutine[Any, Any, None] = service.run()
        self._tasks[slot] = await curio.spawn(running, daemon=True)

    async def kill(self, slot: int) -> None:
        """End a member; its engine lives on.

        :param slot: its place.
        """
        self.network.handlers.pop(str(slot), None)
        await self._tasks.pop(slot).cancel()

    async def stop(self) -> None:
        """End every member."""
        for slot in tuple(self._tasks):
            await self.kill(slot)

    async def step_forever(self) -> None:
        """Run a step whenever every engine may."""
        while True:
            await curio.sleep(STEP_SECONDS)
            started = time.thread_time()
            stepped = self._run_step()
            self.steps += stepped
            self.stalls += not stepped
            self.engine_seconds += time.thread_time() - started

    def offer(self, revision: int, layers: int) -> int:
        """Offer a map to the member of slot 0.

        :param revision: its revision.
        :param layers: layers of 64 experts.
        :returns: the map's size in bytes.
        """
        layer = tuple(
            ((expert + revision) % self.ranks,) for expert in range(EXPERTS)
        )
        expert_map = ExpertMap(revision=revision, layers=(layer,) * layers)
        self.services[0].propose(expert_map)
        return len(msgspec.msgpack.encode(expert_map))

    def _run_step(self) -> bool:
        steps = [engine.next_step() or 0 for engine in self.engines]
        step = max(steps)
        grants = [engine.find_grant(step) for engine in self.engines]
        if not all(grants):
            return False
        for rank, (engine, grant) in enumerate(
            zip(self.engines, grants, strict=True)
        ):
            engine.step = step
            if grant is None:
                continue
            self.revision = grant.map_name.revision
            if self._pace is not None:
                self.lacks += len(engine.find_lacks(grant.map_name, rank))
        return True
