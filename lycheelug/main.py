"""The daemon's command: `lycheelugd SETTINGS.yaml [--check]`.

Exit codes: 0 after a graceful stop or a check without faults; 1 if the
daemon cannot listen on an address, requests were cut off, or other daemons
ended this run; 2 for invalid settings or usage.
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

# Net number of new container objects that triggers a collection of the
# youngest generation.
COLLECT_AFTER_OBJECTS: Final = 20_000

EXIT_DONE: Final = 0
EXIT_FAILED: Final = 1
EXIT_USAGE: Final = 2


def main() -> None:
    """Run the daemon until it is requested to stop."""
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
    _configure_garbage_collector()
    raise SystemExit(asyncio.run(_serve(settings)))


def _parse(arguments: list[str]) -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(
        prog="lycheelugd",
        description="Entry daemon between callers and upstreams.",
    )
    parser.add_argument(
        "settings", type=Path, metavar="SETTINGS.yaml", help="settings file"
    )
    parser.add_argument(
        "--check", action="store_true", help="check the settings, then exit"
    )
    parser.add_argument("--version", action="version", version=__version__)
    return parser.parse_args(arguments)


def _configure_garbage_collector() -> None:
    """Reduce the frequency of collections: requests leave few cycles.

    Objects created by the imports live until exit, so they are excluded
    from further collections.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(COLLECT_AFTER_OBJECTS, 20, 20)


async def _serve(settings: Settings) -> int:
    """Serve until a signal, then drain and stop.

    A second signal skips the rest of the drain.
    """
    daemon = Daemon(settings, random.Random())
    stopping = asyncio.Event()
    drain_skipped = asyncio.Event()

    def on_signal() -> None:
        if stopping.is_set():
            drain_skipped.set()
        stopping.set()

    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, on_signal)
    starting = asyncio.create_task(daemon.start())
    stop_requested = asyncio.create_task(
        _wait_for_any(stopping, daemon.superseded)
    )
    await asyncio.wait(
        {starting, stop_requested}, return_when=asyncio.FIRST_COMPLETED
    )
    if starting.done() and starting.exception() is not None:
        sys.stderr.write(f"lycheelugd: {starting.exception()}\n")
        stop_requested.cancel()
        return EXIT_FAILED
    await stop_requested
    starting.cancel()
    return await _stop(daemon, drain_skipped)


async def _wait_for_any(*events: asyncio.Event) -> None:
    """Wait until one of the events is set."""
    waits = [asyncio.create_task(event.wait()) for event in events]
    await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    for wait in waits:
        wait.cancel()


async def _stop(daemon: Daemon, drain_skipped: asyncio.Event) -> int:
    """Drain and stop the daemon; return the exit code."""
    draining = asyncio.create_task(daemon.drain())
    skip_wait = asyncio.create_task(drain_skipped.wait())
    await asyncio.wait(
        {draining, skip_wait}, return_when=asyncio.FIRST_COMPLETED
    )
    cut_count = daemon.in_flight
    draining.cancel()
    skip_wait.cancel()
    await daemon.stop()
    log_change("ended", requests_cut=cut_count)
    failed = cut_count or daemon.superseded.is_set()
    return EXIT_FAILED if failed else EXIT_DONE


if __name__ == "__main__":
    main()
