"""A registry that maps names to entries registered by a decorator.

Replaceable behaviour (policies, bindings, commands) is registered under a
name that settings and command lines refer to.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Generic, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

__all__ = ["Registry"]

T = TypeVar("T")


class Registry(Generic[T]):
    """Maps names to entries of one kind.

    >>> shapes: Registry[type] = Registry("shape")
    >>> @shapes.register("round")
    ... class Circle: ...
    >>> shapes.get("round") is Circle
    True
    >>> list(shapes)
    ['round']
    """

    __slots__ = ("_entries", "_kind")

    def __init__(self, kind: str) -> None:
        self._kind = kind
        self._entries: dict[str, T] = {}

    @property
    def kind(self) -> str:
        """The kind of the entries, as used in messages."""
        return self._kind

    def register(self, name: str) -> Callable[[T], T]:
        """Return a decorator that registers its argument under a name.

        Raise ValueError if the name is already registered.
        """

        def decorate(entry: T) -> T:
            if name in self._entries:
                raise ValueError(f"{self._kind} {name!r} registered twice")
            self._entries[name] = entry
            return entry

        return decorate

    def get(self, name: str) -> T:
        """Return an entry; raise a KeyError that lists the known names."""
        if name not in self._entries:
            known = ", ".join(sorted(self._entries))
            raise KeyError(f"no {self._kind} {name!r}; known: {known}")
        return self._entries[name]

    def __contains__(self, name: object) -> bool:
        return name in self._entries

    def __iter__(self) -> Iterator[str]:
        return iter(sorted(self._entries))
