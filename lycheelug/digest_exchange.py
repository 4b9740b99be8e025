"""Which digests to send to which partner, in anti-entropy exchanges.

Each side remembers, per partner and run, the newest sequence that the
partner has shown or been sent, and sends only what is newer.  The first
digest of each list is the sender's own.  Digests go in full within their
own zone and as summaries, without loads, elsewhere.  A lost answer leaves
the partner without some digests until their next sequence, a second later.

Pure: time is an argument.
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
    """What one run of a partner is known to hold, by member name."""

    __slots__ = ("held", "run", "zone")

    def __init__(self, run: str, zone: str) -> None:
        self.run = run
        self.zone = zone
        self.held: dict[str, tuple[str, int, bool]] = {}

    def note(self, digests: Sequence[Digest]) -> None:
        for digest in digests:
            self.held[digest.name] = _version(digest)


class DigestExchange:
    """The digests of exchanges between one daemon and its partners."""

    __slots__ = ("_members", "_partners")

    def __init__(self, members: Members) -> None:
        self._members = members
        self._partners: dict[str, _Partner] = {}

    def request(self, address: str) -> list[Digest]:
        """Return what to send to the partner at an address."""
        for digest in self._members.known_digests()[1:]:
            partner = self._partners.get(digest.name)
            if digest.address != address or partner is None:
                continue
            if partner.run == digest.run:
                return self._news_for(digest.name, partner)
        return [self._members.own]

    def answer(self, received: Sequence[Digest], now: float) -> list[Digest]:
        """Take in a partner's request; return the answer to it."""
        self._members.merge(received, now)
        partner = self._partner_of(received)
        if partner is None:
            return [self._members.own]
        partner.note(received)
        news = self._news_for(received[0].name, partner)
        partner.note(news)
        return news

    def complete(
        self, sent: Sequence[Digest], received: Sequence[Digest], now: float
    ) -> list[str]:
        """Take in a partner's answer; return the names with newer digests."""
        changed = self._members.merge(received, now)
        partner = self._partner_of(received)
        if partner is not None:
            partner.note(sent)
            partner.note(received)
        self._forget_strangers()
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

    def _news_for(self, name: str, partner: _Partner) -> list[Digest]:
        digests = self._members.known_digests()
        news = [_copy_for(digests[0], partner.zone)]
        for digest in digests[1:]:
            if digest.name == name:
                continue
            copy = _copy_for(digest, partner.zone)
            known = partner.held.get(digest.name)
            if known is not None and known >= _version(copy):
                continue
            news.append(copy)
        return news

    def _forget_strangers(self) -> None:
        known = {digest.name for digest in self._members.known_digests()}
        for name in list(self._partners):
            if name not in known:
                del self._partners[name]


def _version(digest: Digest) -> tuple[str, int, bool]:
    return (digest.run, digest.sequence, not digest.summary)


def _copy_for(digest: Digest, zone: str) -> Digest:
    """Return the digest, without its loads for another zone."""
    if digest.zone == zone or digest.summary:
        return digest
    return msgspec.structs.replace(digest, loads=[], summary=True)
