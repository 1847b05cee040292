"""A bounded buffer of lines that a thread writes out."""

from __future__ import annotations

import os
import queue
import threading
from collections.abc import Callable
from typing import Final

#: Turns one entry into the bytes of one line; runs in the writer's thread.
Encoder = Callable[[object], bytes]
#: Writes bytes and may block as long as it likes.
Sink = Callable[[bytes], object]

FILE_MODE: Final = 0o644

_STOP = object()


class LineWriter:
    """Writes lines without ever making the event loop wait.

    A full disk, a stopped terminal or a pipe that nobody reads blocks
    ``write(2)`` for good. In the event loop that would stop every request;
    here it stops only the thread: the buffer fills, further lines are dropped,
    and ``dropped`` shows how many.

    :param encode: turns one entry into a line.
    :param sink: writes the line.
    :param capacity: entries that wait at most.
    :param describe_drops: makes an entry that tells how many were dropped; it
        is written once the destination has caught up, so that a gap shows.
    """

    def __init__(
        self,
        encode: Encoder,
        sink: Sink,
        capacity: int,
        describe_drops: Callable[[int], object] | None = None,
    ) -> None:
        self.dropped = 0
        self.written = 0
        self._encode = encode
        self._sink = sink
        self._capacity = capacity
        self._describe_drops = describe_drops
        self._told = 0
        self._entries: queue.SimpleQueue[object] = queue.SimpleQueue()
        # A daemon: a sink that blocks for good must not keep the process.
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def put(self, entry: object) -> None:
        """Hand over one entry; never waits.

        :param entry: what the encoder takes; not changed afterwards.
        """
        if self._entries.qsize() >= self._capacity:
            self.dropped += 1
            return
        self._entries.put(entry)

    def close(self, timeout: float) -> bool:
        """Write what is left, as far as the time goes.

        :param timeout: seconds to wait for the thread.
        :returns: whether everything was written.
        """
        self._entries.put(_STOP)
        self._thread.join(timeout)
        return not self._thread.is_alive()

    def _run(self) -> None:
        while True:
            entry = self._entries.get()
            if entry is not _STOP:
                self._write(entry)
            if self._entries.empty():
                self._tell_drops()
            if entry is _STOP:
                return

    def _write(self, entry: object) -> None:
        try:
            self._sink(self._encode(entry))
        except Exception:
            # A broken destination or an entry that cannot be encoded loses
            # this line, not the lines after it.
            self.dropped += 1
        else:
            self.written += 1

    def _tell_drops(self) -> None:
        dropped = self.dropped
        if self._describe_drops is not None and dropped > self._told:
            self._told = dropped
            self._write(self._describe_drops(dropped))


class DescriptorSink:
    """Writes whole lines to a file descriptor, past Python's buffers.

    A thread that holds the lock of ``sys.stderr`` while it blocks would make
    the interpreter abort at exit; a plain descriptor has no such lock.

    :param descriptor: an open file descriptor.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor

    def __call__(self, line: bytes) -> None:
        """Write a line.

        :param line: with its line end.
        :raises OSError: the destination is gone.
        """
        rest = line
        while rest:
            rest = rest[os.write(self._descriptor, rest) :]


def open_sink(path: str | None) -> DescriptorSink:
    """Open a file to append to, or standard error.

    :param path: the file, or ``None`` for standard error.
    :returns: the sink.
    :raises OSError: the file cannot be opened.
    """
    if path is None:
        return DescriptorSink(2)
    flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC
    return DescriptorSink(os.open(path, flags, FILE_MODE))
