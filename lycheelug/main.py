"""The daemon's command: `lycheelugd SETTINGS.yaml [--check]`.

Exit codes: 0 after a graceful stop or a clean check; 1 where an address
can't be listened on, requests were cut, or others ended this run; 2 for
bad settings or usage.
"""

from __future__ import annotations

import argparse
import asyncio
import gc
import random
import signal
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Final

from returns.result import Failure

from lycheelug import __version__
from lycheelug.daemon import Daemon
from lycheelug.logs import log_change, set_up_logs
from lycheelug.settings_file import read_settings

if TYPE_CHECKING:
    from lycheelug.settings import Settings

__all__ = ["main"]

# Net new container objects before the youngest are searched for cycles.
COLLECT_AFTER_OBJECTS: Final = 20_000

EXIT_DONE: Final = 0
EXIT_FAILED: Final = 1
EXIT_USAGE: Final = 2


def main() -> None:
    """Run the daemon until it is told to stop."""
    arguments = _parse(sys.argv[1:])
    result = read_settings(arguments.settings)
    if isinstance(result, Failure):
        for fault in result.failure():
            sys.stderr.write(fault.render(str(arguments.settings)) + "\n")
        raise SystemExit(EXIT_USAGE)
    settings = result.unwrap()
    if arguments.check:
        sys.stdout.write(f"{arguments.settings}: no faults\n")
        raise SystemExit(EXIT_DONE)
    set_up_logs(settings.logs, settings.name)
    _tune_collector()
    raise SystemExit(asyncio.run(_serve(settings)))


def _parse(words: list[str]) -> argparse.Namespace:
    """Return the command line's arguments."""
    parser = argparse.ArgumentParser(
        prog="lycheelugd",
        description="Entry daemon between callers and upstreams.",
    )
    parser.add_argument(
        "settings", type=Path, metavar="SETTINGS.yaml", help="settings file"
    )
    parser.add_argument(
        "--check", action="store_true", help="check the settings, then end"
    )
    parser.add_argument("--version", action="version", version=__version__)
    return parser.parse_args(words)


def _tune_collector() -> None:
    """Collect garbage cycles seldom: requests leave next to none.

    What the imports made stays for good and is not looked at again.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(COLLECT_AFTER_OBJECTS, 20, 20)


async def _serve(settings: Settings) -> int:
    """Serve until a signal, then stop gracefully; a second one hurries."""
    daemon = Daemon(settings, random.Random())
    stopping = asyncio.Event()
    hurried = asyncio.Event()

    def on_signal() -> None:
        if stopping.is_set():
            hurried.set()
        stopping.set()

    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, on_signal)
    starting = asyncio.create_task(daemon.start())
    told = asyncio.create_task(_first_of(stopping, daemon.superseded))
    await asyncio.wait({starting, told}, return_when=asyncio.FIRST_COMPLETED)
    if starting.done() and starting.exception() is not None:
        sys.stderr.write(f"lycheelugd: {starting.exception()}\n")
        told.cancel()
        return EXIT_FAILED
    await told
    starting.cancel()
    return await _stop(daemon, hurried)


async def _first_of(*events: asyncio.Event) -> None:
    """Return once one of some events is set."""
    waits = [asyncio.create_task(event.wait()) for event in events]
    await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    for wait in waits:
        wait.cancel()


async def _stop(daemon: Daemon, hurried: asyncio.Event) -> int:
    """Drain and stop; return the exit code."""
    draining = asyncio.create_task(daemon.drain())
    hurry = asyncio.create_task(hurried.wait())
    await asyncio.wait({draining, hurry}, return_when=asyncio.FIRST_COMPLETED)
    cut = daemon.in_flight
    draining.cancel()
    hurry.cancel()
    await daemon.stop()
    log_change("ended", requests_cut=cut)
    failed = cut or daemon.superseded.is_set()
    return EXIT_FAILED if failed else EXIT_DONE


if __name__ == "__main__":
    main()
