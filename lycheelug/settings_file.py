"""Reads and checks a settings file; reports every fault at once.

The YAML is taken as a tree of nodes, which know their lines, and walked
along `settings_schema`.  A fault names line and path, what was found, what
is allowed and what to do.  Nothing is used of a file that has a fault.
"""

from __future__ import annotations

from ipaddress import ip_address
from typing import TYPE_CHECKING, Any

import yaml
from returns.result import Failure, Result, Success

from lycheelug.settings_schema import (
    ROOT,
    Field,
    Group,
    GroupList,
    Kind,
    Scalar,
    ScalarList,
    split_address,
)

if TYPE_CHECKING:
    from pathlib import Path

    from yaml.nodes import MappingNode, Node

    from lycheelug.settings import Settings

__all__ = ["SettingsFault", "check_text", "read_settings"]


class SettingsFault:
    """One fault of a settings file."""

    __slots__ = ("allowed", "found", "line", "path", "remedy")

    def __init__(
        self, line: int, path: str, found: str, allowed: str, remedy: str
    ) -> None:
        self.line = line
        self.path = path
        self.found = found
        self.allowed = allowed
        self.remedy = remedy

    def render(self, file: str) -> str:
        """Return one line for people."""
        where = f"{file}:{self.line}"
        field = self.path or "(file)"
        return (
            f"{where}: {field}: found {self.found}; "
            f"allowed: {self.allowed}; {self.remedy}"
        )


class _Reader:
    """Walks the nodes and collects faults."""

    __slots__ = ("faults", "lines")

    def __init__(self) -> None:
        self.faults: list[SettingsFault] = []
        # The line of each path that the file gives, for later checks.
        self.lines: dict[str, int] = {}

    def note(
        self, line: int, path: str, found: str, allowed: str, remedy: str
    ) -> None:
        """Add a fault."""
        fault = SettingsFault(line, path, found, allowed, remedy)
        self.faults.append(fault)

    def read(self, node: Node, kind: Kind, path: str) -> Any:
        """Return the value of a node, or None after noting a fault."""
        self.lines[path] = _line(node)
        if isinstance(kind, Scalar):
            return self._read_scalar(node, kind, path)
        if isinstance(kind, Group):
            return self._read_group(node, kind, path)
        return self._read_list(node, kind, path)

    def _read_scalar(self, node: Node, kind: Scalar, path: str) -> Any:
        """Return a single value that its kind accepts."""
        value = _plain(node)
        if kind.accepts(value):
            return value
        found = f"{value!r}"
        self.note(_line(node), path, found, kind.allowed, "correct the value")
        return None

    def _read_list(
        self, node: Node, kind: ScalarList | GroupList, path: str
    ) -> list[Any]:
        """Return the items that could be read."""
        if not isinstance(node, yaml.SequenceNode):
            found = f"{_plain(node)!r}"
            self.note(_line(node), path, found, "a list", "write '- ' items")
            return []
        items: list[Any] = []
        for index, child in enumerate(node.value):
            item = self.read(child, kind.item, f"{path}[{index}]")
            if item is not None:
                items.append(item)
        return items

    def _read_group(self, node: Node, kind: Group, path: str) -> Any:
        """Return a settings object filled from a mapping."""
        made: Any = kind.made()
        if not isinstance(node, yaml.MappingNode):
            found = f"{_plain(node)!r}"
            self.note(
                _line(node), path, found, "a mapping", "write 'key: value'"
            )
            return made
        fields = {field.name: field for field in kind.fields}
        seen: set[str] = set()
        for key_node, value_node in node.value:
            name = str(key_node.value)
            child_path = f"{path}.{name}" if path else name
            field = self._known_field(key_node, name, fields, child_path)
            if field is None:
                continue
            if name in seen:
                self.note(
                    _line(key_node),
                    child_path,
                    "the key twice",
                    "once",
                    "remove one of them",
                )
                continue
            seen.add(name)
            value = self.read(value_node, field.kind, child_path)
            if value is not None:
                setattr(made, name, value)
        self._check_required(node, kind, seen, path)
        return made

    def _known_field(
        self, node: Node, name: str, fields: dict[str, Field], path: str
    ) -> Field | None:
        """Return the field of a key, or note that there is none."""
        field = fields.get(name)
        if field is None:
            allowed = "one of " + ", ".join(sorted(fields))
            self.note(
                _line(node), path, "an unknown key", allowed, "remove it"
            )
        return field

    def _check_required(
        self, node: MappingNode, kind: Group, seen: set[str], path: str
    ) -> None:
        """Note the required fields that are missing."""
        for field in kind.fields:
            if not field.required or field.name in seen:
                continue
            child_path = f"{path}.{field.name}" if path else field.name
            allowed = getattr(field.kind, "allowed", "a value")
            remedy = f"add '{field.name}:'"
            self.note(_line(node), child_path, "nothing", allowed, remedy)


def check_text(text: str) -> Result[Settings, list[SettingsFault]]:
    """Return the settings of a YAML text, or all of its faults."""
    try:
        node = yaml.compose(text, Loader=yaml.SafeLoader)
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark
        line = mark.line + 1 if mark else 1
        fault = SettingsFault(
            line, "", str(error.problem), "YAML", "correct the syntax"
        )
        return Failure([fault])
    except yaml.YAMLError as error:
        fault = SettingsFault(1, "", str(error), "YAML", "correct the syntax")
        return Failure([fault])
    reader = _Reader()
    if node is None:
        reader.note(1, "", "an empty file", "a mapping", "add 'name:'")
        return Failure(reader.faults)
    settings: Settings = reader.read(node, ROOT, "")
    _check_together(settings, reader)
    if reader.faults:
        reader.faults.sort(key=lambda fault: fault.line)
        return Failure(reader.faults)
    settings.set_tenants({each.name: each.share for each in settings.tenants})
    return Success(settings)


def read_settings(path: Path) -> Result[Settings, list[SettingsFault]]:
    """Return the settings of a file, or all of its faults."""
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        detail = error.strerror or str(error)
        return Failure(
            [SettingsFault(0, "", detail, "a readable file", "check the path")]
        )
    except UnicodeDecodeError as error:
        return Failure(
            [SettingsFault(0, "", str(error), "UTF-8 text", "save as UTF-8")]
        )
    return check_text(text)


def _check_together(settings: Settings, reader: _Reader) -> None:
    """Check what no field can tell alone."""
    _check_operator_address(settings, reader)
    _check_platform(settings, reader)
    _check_names_unique(settings, reader)
    _check_policies(settings, reader)
    limits = settings.limits
    if limits.default_deadline_s > limits.max_deadline_s:
        path = "limits.default_deadline_s"
        reader.note(
            reader.lines.get(path, 1),
            path,
            f"{limits.default_deadline_s:g}",
            f"at most limits.max_deadline_s ({limits.max_deadline_s:g})",
            "lower it or raise the other",
        )


def _check_operator_address(settings: Settings, reader: _Reader) -> None:
    """Ask for a token where operators are not on loopback."""
    split = split_address(settings.listen.operators)
    if split is None or ip_address(split[0]).is_loopback:
        return
    if settings.operator_token:
        return
    path = "listen.operators"
    reader.note(
        reader.lines.get(path, 1),
        path,
        f"{settings.listen.operators} without operator_token",
        "a loopback address, or a token",
        "set operator_token",
    )


def _check_platform(settings: Settings, reader: _Reader) -> None:
    """Check that the binding has what it needs, and no more."""
    platform = settings.platform
    embedded = platform.binding == "memory"
    if not embedded and not platform.address:
        path = "platform.binding"
        reader.note(
            reader.lines.get(path, 1),
            path,
            f"{platform.binding} without an address",
            "platform.address as ip:port",
            "set platform.address",
        )
    for name in ("pools", "hosts"):
        path = f"platform.{name}"
        if embedded or path not in reader.lines:
            continue
        reader.note(
            reader.lines[path],
            path,
            f"{name} with the binding {platform.binding}",
            f"{name} in the platform's own table",
            "remove them, or use the binding memory",
        )
    pools = {pool.name for pool in platform.pools}
    for index, host in enumerate(platform.hosts):
        if host.pool in pools or not host.pool:
            continue
        path = f"platform.hosts[{index}].pool"
        allowed = "one of " + ", ".join(sorted(pools)) if pools else "a pool"
        reader.note(
            reader.lines.get(path, 1),
            path,
            f"{host.pool!r}",
            allowed,
            "name a pool of platform.pools",
        )


def _check_names_unique(settings: Settings, reader: _Reader) -> None:
    """Note names that stand twice in one list."""
    lists: list[tuple[str, list[Any]]] = [
        ("platform.pools", list(settings.platform.pools)),
        ("platform.hosts", list(settings.platform.hosts)),
        ("tenants", list(settings.tenants)),
    ]
    for path, items in lists:
        seen: set[str] = set()
        for index, item in enumerate(items):
            if item.name and item.name in seen:
                where = f"{path}[{index}].name"
                reader.note(
                    reader.lines.get(where, 1),
                    where,
                    f"{item.name!r} twice",
                    "a name of its own",
                    "rename or remove one",
                )
            seen.add(item.name)


def _check_policies(settings: Settings, reader: _Reader) -> None:
    """Check policy names against their registries."""
    from lycheelug.policies import POLICY_REGISTRIES  # noqa: PLC0415

    for name, registry in POLICY_REGISTRIES.items():
        value = getattr(settings.policies, name)
        if value in registry:
            continue
        path = f"policies.{name}"
        reader.note(
            reader.lines.get(path, 1),
            path,
            f"{value!r}",
            "one of " + ", ".join(registry),
            "name a registered policy",
        )


def _line(node: Node) -> int:
    """Return the line of a node, from 1."""
    return int(node.start_mark.line) + 1


def _plain(node: Node) -> Any:
    """Return a node's value as YAML understands it."""
    if isinstance(node, yaml.ScalarNode):
        loader = yaml.SafeLoader("")
        try:
            return loader.construct_object(node, deep=True)
        except (ValueError, yaml.YAMLError):
            return node.value
    return "a list" if isinstance(node, yaml.SequenceNode) else "a mapping"
