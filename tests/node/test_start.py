"""A process starts although something still prevents it for a moment."""

from __future__ import annotations

from collections.abc import Iterator
import contextlib
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time

import attrs
import pytest
from testtools import matchers
from testtools.assertions import assert_that

SOURCE = pathlib.Path(__file__).parents[2] / "src"
START_S = 20.0
HOLD_S = 2.0

SETTINGS = """
node = "front-a-1"
zone = "east-a"
region = "east"
ip = "{host}"
internal_ports = [{internal}, {internal}]
seeds = []
bounds = []
[listen]
front = "{host}:{front}"
ready = "{host}:{ready}"
[platform]
address = "{host}:9"
"""


@attrs.define
class Machine:
    """A loopback address with a settings file for one process."""

    host: str
    ports: dict[str, int]
    file: pathlib.Path

    def settings(self) -> str:
        return SETTINGS.format(host=self.host, **self.ports)

    @contextlib.contextmanager
    def running(self) -> Iterator[subprocess.Popen[bytes]]:
        environment = {
            **os.environ,
            "PYTHONPATH": str(SOURCE),
            "LOVAGEYOKE_NODE_FILE": str(self.file),
        }
        process = subprocess.Popen(
            [sys.executable, "-m", "lovageyoke.node"],
            env=environment,
            stdout=subprocess.DEVNULL,
        )
        try:
            yield process
        finally:
            process.kill()
            process.wait()

    def listens(self) -> bool:
        with contextlib.suppress(OSError):
            address = (self.host, self.ports["ready"])
            socket.create_connection(address, 1.0).close()
            return True
        return False

    def wait_until_listening(self, process: subprocess.Popen[bytes]) -> None:
        end = time.monotonic() + START_S
        while not self.listens():
            assert_that(process.poll(), matchers.Is(None))
            assert time.monotonic() < end
            time.sleep(0.05)


def free_port(host: str, kind: socket.SocketKind) -> int:
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((host, 0))
        port: int = probe.getsockname()[1]
        return port


@pytest.fixture
def machine(tmp_path: pathlib.Path) -> Machine:
    # The metrics port is the same for all processes of an address.
    process_id = os.getpid()
    host = f"127.77.{process_id // 250 % 250}.{process_id % 250 + 1}"
    ports = {
        "front": free_port(host, socket.SOCK_STREAM),
        "ready": free_port(host, socket.SOCK_STREAM),
        "internal": free_port(host, socket.SOCK_DGRAM),
    }
    made = Machine(host, ports, tmp_path / "boot.toml")
    made.file.write_text(made.settings(), encoding="utf-8")
    return made


@pytest.mark.parametrize("name", ["front", "internal"])
def test_a_port_that_is_held_for_a_moment_does_not_end_the_start(
    machine: Machine, name: str
) -> None:
    kind = socket.SOCK_DGRAM if name == "internal" else socket.SOCK_STREAM
    holder = socket.socket(socket.AF_INET, kind)
    holder.bind((machine.host, machine.ports[name]))
    if name == "front":
        holder.listen()
    with machine.running() as process:
        time.sleep(HOLD_S)
        assert_that(process.poll(), matchers.Is(None))
        holder.close()
        machine.wait_until_listening(process)


@pytest.mark.parametrize("part", ["", "half", "none"])
def test_a_settings_file_that_is_being_written_does_not_end_the_start(
    machine: Machine, part: str
) -> None:
    whole = machine.settings()
    if part == "none":
        machine.file.unlink()
    else:
        half = whole[: len(whole) // 2] if part else ""
        machine.file.write_text(half, encoding="utf-8")
    with machine.running() as process:
        time.sleep(HOLD_S)
        machine.file.write_text(whole, encoding="utf-8")
        machine.wait_until_listening(process)


def test_an_invalid_settings_file_ends_the_start_with_an_error(
    machine: Machine,
) -> None:
    machine.file.write_text("node = 7", encoding="utf-8")
    with machine.running() as process:
        assert_that(process.wait(START_S), matchers.Equals(1))


def ignores_reload_signal(process: subprocess.Popen[bytes]) -> bool:
    status = pathlib.Path(f"/proc/{process.pid}/status").read_text("utf-8")
    (line,) = [each for each in status.splitlines() if "SigIgn" in each]
    mask = int(line.split()[1], 16)
    return bool(mask >> (signal.SIGHUP - 1) & 1)


def test_a_reload_signal_during_the_start_does_not_end_it(
    machine: Machine,
) -> None:
    with machine.running() as process:
        end = time.monotonic() + START_S
        # The interpreter itself has to start before it can ignore a signal.
        while not ignores_reload_signal(process):
            assert time.monotonic() < end
            time.sleep(0.002)
        while not machine.listens():
            process.send_signal(signal.SIGHUP)
            assert_that(process.poll(), matchers.Is(None))
            assert time.monotonic() < end
            time.sleep(0.02)
