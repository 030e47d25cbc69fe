"""The listening sockets of an entry VM."""

from __future__ import annotations

import contextlib
import socket

import attrs

from lovageyoke.serving import hosting
from lovageyoke.settings import model


@attrs.frozen
class Listeners:
    """Listening sockets, bound before any task starts.

    Attributes:
        caller: Serves callers.
        operator: Serves operators and metrics.
        peer: Serves other entry VMs.
    """

    caller: socket.socket
    operator: socket.socket
    peer: socket.socket

    def addresses(self) -> model.Listen:
        """Returns the bound addresses, with the ports actually assigned."""
        return model.Listen(
            caller=_address_of(self.caller),
            operator=_address_of(self.operator),
            peer=_address_of(self.peer),
        )


def bind(listen: model.Listen) -> Listeners:
    """Binds all sockets; closes those already bound if one fails.

    Raises:
        SettingsError: An address can't be bound.
    """
    with contextlib.ExitStack() as stack:
        bound = [
            stack.enter_context(_bind(address))
            for address in (listen.caller, listen.operator, listen.peer)
        ]
        stack.pop_all()
    return Listeners(*bound)


def _bind(address: str) -> socket.socket:
    host, _, port = address.rpartition(":")
    return hosting.bind(host.strip("[]"), int(port))


def _address_of(listener: socket.socket) -> str:
    host, port = listener.getsockname()[:2]
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
