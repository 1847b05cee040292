from __future__ import annotations

from pathlib import Path

import curio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ospreyford.peers.counters import DropReason
from ospreyford.peers.node import PeerNode
from ospreyford.peers.settings import PeerSettings
from ospreyford.security.errors import Forged, SecretUnusable
from ospreyford.security.keyring import Keyring, read_keyring
from tests.peers.support import LOOPBACK, echo

OLD, NEW = b'o' * 32, b'n' * 32
#: Keyrings of a fleet while a key is replaced, in order.
ROTATION = ((OLD,), (OLD, NEW), (NEW, OLD), (NEW,))


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.binary(max_size=60), st.data())
def test_any_change_is_found(message: bytes, data: st.DataObject) -> None:
    sealed = Keyring((OLD,)).seal(message)
    place = data.draw(st.integers(0, len(sealed) - 1))
    changed = bytearray(sealed)
    changed[place] ^= data.draw(st.integers(1, 255))
    others = (bytes(changed), sealed[:-1], sealed[1:], message)
    for wrong in others:
        with pytest.raises(Forged):
            Keyring((NEW, OLD)).open(wrong)
    assert Keyring((NEW, OLD)).open(sealed) == message


@pytest.mark.parametrize('step', range(len(ROTATION) - 1))
def test_a_key_is_replaced_without_a_split(step: int) -> None:
    """Symptom: half the fleet takes the other half for dead.

    Sequence: a key is replaced host by host.
    Cause: a process seals with a key that another does not know yet.
    """
    before, after = map(Keyring, ROTATION[step : step + 2])
    assert after.open(before.seal(b'm')) == b'm'
    assert before.open(after.seal(b'm')) == b'm'


@pytest.mark.parametrize(
    'text', ['', 'zz', 'ab' * 31, f'{NEW.hex()}\nab', 'é'], ids=repr
)
def test_no_key_is_refused(tmp_path: Path, text: str) -> None:
    path = tmp_path / 'keys'
    path.write_text(text)
    with pytest.raises(SecretUnusable):
        read_keyring(str(path))


def test_keys_are_read(tmp_path: Path) -> None:
    path = tmp_path / 'keys'
    path.write_text(f'{OLD.hex()}\n{NEW.hex()}\n')
    read = read_keyring(str(path))
    assert read.seal(b'm') == Keyring((OLD,)).seal(b'm')
    assert read.open(Keyring((NEW,)).seal(b'm')) == b'm'


# The asker's keys, whether it is answered, and who counts a forged message.
TALKS = (
    ((OLD,), b'x', 0),
    ((NEW, OLD), None, 1),
    ((), None, 1),
)


@pytest.mark.parametrize(('keys', 'expected', 'forged'), TALKS)
def test_only_sealed_questions_are_answered(
    keys: tuple[bytes, ...], expected: bytes | None, forged: int
) -> None:
    """Symptom: a process that is none of the fleet takes part in it.

    Sequence: somebody who reaches a peer address asks in good form.
    Cause: nothing tells who sent a message.
    """

    async def act() -> None:
        bound = PeerSettings(address=LOOPBACK)
        one = PeerNode(bound, 'a', Keyring(keys))
        two = PeerNode(bound, 'b', Keyring((OLD,)))
        two.serve('echo', echo)
        for node in (one, two):
            await node.start()
        # An unanswered question waits out its time; an answered one does not.
        seconds = 20 if expected else 0.5
        assert await one.ask(two.address, 'echo', b'x', seconds) == expected
        if forged:
            while not two.counters.drops.get(DropReason.forged):
                await curio.sleep(0.01)
        assert two.counters.drops.get(DropReason.forged, 0) == forged
        for node in (one, two):
            await node.stop()

    curio.run(curio.timeout_after, 60, act)
