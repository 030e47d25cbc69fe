"""Runs the forwarding process: ``python -m lovageyoke.node``."""

from __future__ import annotations

import signal
import sys


def main() -> None:
    """Runs the process without loading the ssl module.

    asyncio imports ssl when it is available. The process uses no TLS on the
    users' platform, and needs 2 MB less memory without the module.
    """
    # Until the process handles this signal, it would end it. The settings are
    # read later.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    sys.modules.setdefault("ssl", None)  # type: ignore[arg-type]
    from lovageyoke.node import assembly  # noqa: PLC0415

    assembly.main()


if __name__ == "__main__":
    main()
