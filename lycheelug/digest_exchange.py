"""Selection of the digests to send in anti-entropy exchanges.

For each run of a partner, each side records the newest sequence of every
digest that the partner sent or was sent, and sends only newer ones. The
first digest of each list is the sender's own. Digests are sent in full
within their own zone, and as summaries without loads to other zones. If an
answer is lost, the partner lacks some digests until their next sequence,
one second later.

Pure: the time is an argument.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Sequence

    from lycheelug.entries.messages import Digest
    from lycheelug.membership import Members

__all__ = ["DigestExchange"]


class _Partner:
    """The digest versions that one run of a partner is known to hold."""

    __slots__ = ("held_versions", "run", "zone")

    def __init__(self, run: str, zone: str) -> None:
        self.run = run
        self.zone = zone
        self.held_versions: dict[str, tuple[str, int, bool]] = {}

    def record_held(self, digests: Sequence[Digest]) -> None:
        for digest in digests:
            self.held_versions[digest.name] = _version(digest)


class DigestExchange:
    """The exchanges of digests between one daemon and its partners."""

    __slots__ = ("_members", "_partners")

    def __init__(self, members: Members) -> None:
        self._members = members
        self._partners: dict[str, _Partner] = {}

    def request(self, address: str) -> list[Digest]:
        """Return the digests to send to the partner at an address."""
        for digest in self._members.known_digests()[1:]:
            partner = self._partners.get(digest.name)
            if digest.address != address or partner is None:
                continue
            if partner.run == digest.run:
                return self._newer_digests(digest.name, partner)
        return [self._members.own]

    def answer(self, received: Sequence[Digest], now: float) -> list[Digest]:
        """Merge the digests of a partner's request; return the answer."""
        self._members.merge(received, now)
        partner = self._partner_of(received)
        if partner is None:
            return [self._members.own]
        partner.record_held(received)
        newer = self._newer_digests(received[0].name, partner)
        partner.record_held(newer)
        return newer

    def complete(
        self, sent: Sequence[Digest], received: Sequence[Digest], now: float
    ) -> list[str]:
        """Merge a partner's answer; return the names that were updated."""
        changed = self._members.merge(received, now)
        partner = self._partner_of(received)
        if partner is not None:
            partner.record_held(sent)
            partner.record_held(received)
        self._drop_unknown_partners()
        return changed

    def _partner_of(self, received: Sequence[Digest]) -> _Partner | None:
        if not received:
            return None
        first = received[0]
        partner = self._partners.get(first.name)
        if partner is None or partner.run != first.run:
            partner = _Partner(first.run, first.zone)
            self._partners[first.name] = partner
        return partner

    def _newer_digests(self, name: str, partner: _Partner) -> list[Digest]:
        digests = self._members.known_digests()
        newer = [_copy_for(digests[0], partner.zone)]
        for digest in digests[1:]:
            if digest.name == name:
                continue
            copy = _copy_for(digest, partner.zone)
            known = partner.held_versions.get(digest.name)
            if known is not None and known >= _version(copy):
                continue
            newer.append(copy)
        return newer

    def _drop_unknown_partners(self) -> None:
        known = {digest.name for digest in self._members.known_digests()}
        for name in list(self._partners):
            if name not in known:
                del self._partners[name]


def _version(digest: Digest) -> tuple[str, int, bool]:
    return (digest.run, digest.sequence, not digest.is_summary)


def _copy_for(digest: Digest, zone: str) -> Digest:
    """Return the digest, without its loads if sent to another zone."""
    if digest.zone == zone or digest.is_summary:
        return digest
    return msgspec.structs.replace(digest, loads=[], is_summary=True)
