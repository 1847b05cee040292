"""Launcher for the platform: ``python3 -m ospreyford.platform.start``.

An entry listens before its slow imports, so that early connections queue in the
kernel instead of being refused. Import only the standard library here.
"""

from __future__ import annotations

import socket
import sys
from importlib import import_module
from typing import Final

from ospreyford.console.earlysignals import dump_stack_on_signal, hold_signals
from ospreyford.platform.nodefile import Node, read_node

BACKLOG: Final = 512
PROGRAMS: Final = ('entry', 'agent')


def open_listeners(node: Node) -> list[socket.socket]:
    """Open listening sockets for callers and for readiness checks.

    :param node: the node settings.
    :returns: the sockets; none on an agent.
    :raises OSError: an address is in use or not local.
    """
    addresses = (node.front, node.ready)
    return [
        socket.create_server(address, backlog=BACKLOG)
        for address in addresses
        if address is not None
    ]


def main() -> None:
    """Start the program named on the command line."""
    hold_signals()
    dump_stack_on_signal()
    name = sys.argv[-1]
    if name not in PROGRAMS:
        sys.exit(f'unknown program: {name}; expected one of {PROGRAMS}')
    node = read_node()
    listeners = open_listeners(node)
    import_module(f'ospreyford.platform.{name}').run(node, listeners)


if __name__ == '__main__':
    main()
