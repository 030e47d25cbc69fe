"""Runs the forwarding process: ``python -m lovageyoke.node``."""

from __future__ import annotations

import sys


def main() -> None:
    """Runs the process without the TLS library.

    asyncio loads that library if it is there. The process speaks no TLS on
    the users' platform, and is 2 MB smaller without it.
    """
    sys.modules.setdefault("ssl", None)  # type: ignore[arg-type]
    from lovageyoke.node import assembly  # noqa: PLC0415

    assembly.main()


if __name__ == "__main__":
    main()
