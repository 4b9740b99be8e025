"""Publishes the progress of maintenance waves."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from lycheelug.logs import log_change

if TYPE_CHECKING:
    from lycheelug.fleetplan import FleetPlanner
    from lycheelug.jobservice.interfaces import HostControl

__all__ = ["WaveStatus"]

# The number of hosts that one log line names at most.
LOGGED_HOSTS_MAX: Final = 20


class WaveStatus:
    """Publishes which maintenance waves have begun or completed."""

    __slots__ = ("_hosts", "_published")

    def __init__(self, hosts: HostControl) -> None:
        self._hosts = hosts
        # The waves that were published as running.
        self._published: set[int] = set()

    async def publish(self, planner: FleetPlanner) -> None:
        """Publish what has changed; a failed call is repeated next time."""
        for number in planner.waves:
            if number in self._published or number in planner.plan.completed:
                continue
            if await self._hosts.publish_wave(number, False):
                self._published.add(number)
        for number in planner.finished_waves():
            if await self._hosts.publish_wave(number, True):
                planner.plan.completed.append(number)
                left = planner.unlisted_hosts(planner.waves[number])
                log_change(
                    "wave-completed",
                    wave=number,
                    hosts_left=len(left),
                    names=left[:LOGGED_HOSTS_MAX],
                )
