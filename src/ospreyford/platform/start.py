"""Starts a program on the platform: ``python3 -m ospreyford.platform.start``.

An entry listens before its libraries are imported, which takes some tenths of a
second on a weak processor: a caller's connection then waits in the kernel
instead of being refused. Nothing but the standard library may be imported here.
"""

from __future__ import annotations

import socket
import sys
from importlib import import_module
from typing import Final

from ospreyford.platform.nodefile import Node, read_node

#: Connections that wait until the program accepts them.
BACKLOG: Final = 512
PROGRAMS: Final = ('entry', 'agent')


def open_listeners(node: Node) -> list[socket.socket]:
    """Listen where callers connect and where the balancer asks.

    :param node: what the platform's file says.
    :returns: sockets for callers and for the balancer; none at an agent.
    :raises OSError: an address is taken or not ours.
    """
    addresses = (node.front, node.ready)
    return [
        socket.create_server(address, backlog=BACKLOG)
        for address in addresses
        if address is not None
    ]


def main() -> None:
    """Start the program that the command line names."""
    name = sys.argv[-1]
    if name not in PROGRAMS:
        sys.exit(f'no such program: {name}; known are {PROGRAMS}')
    node = read_node()
    listeners = open_listeners(node)
    import_module(f'ospreyford.platform.{name}').run(node, listeners)


if __name__ == '__main__':
    main()
