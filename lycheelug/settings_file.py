"""Reads and validates a settings file and reports all faults at once.

The YAML text is parsed into a tree of nodes with line numbers, which is
traversed along `settings_schema`.  A fault states line and path, what was
found, what is allowed and how to correct it.  A file with any fault is
rejected as a whole.
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
    """A fault in a settings file."""

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
        """Return the fault as one line of text."""
        where = f"{file}:{self.line}"
        field = self.path or "(file)"
        return (
            f"{where}: {field}: found {self.found}; "
            f"allowed: {self.allowed}; {self.remedy}"
        )


class _Reader:
    """Converts nodes to settings and collects faults."""

    __slots__ = ("faults", "lines")

    def __init__(self) -> None:
        self.faults: list[SettingsFault] = []
        # Line of each path in the file, for the checks across fields.
        self.lines: dict[str, int] = {}

    def add_fault(
        self, line: int, path: str, found: str, allowed: str, remedy: str
    ) -> None:
        """Add a fault."""
        fault = SettingsFault(line, path, found, allowed, remedy)
        self.faults.append(fault)

    def read(self, node: Node, kind: Kind, path: str) -> Any:
        """Return the value of a node; add a fault and return None on error."""
        self.lines[path] = _line(node)
        if isinstance(kind, Scalar):
            return self._read_scalar(node, kind, path)
        if isinstance(kind, Group):
            return self._read_group(node, kind, path)
        return self._read_list(node, kind, path)

    def _read_scalar(self, node: Node, kind: Scalar, path: str) -> Any:
        """Return a scalar value, or None if its kind does not accept it."""
        value = _node_value(node)
        if kind.accepts(value):
            return value
        found = f"{value!r}"
        self.add_fault(
            _line(node), path, found, kind.allowed, "correct the value"
        )
        return None

    def _read_list(
        self, node: Node, kind: ScalarList | GroupList, path: str
    ) -> list[Any]:
        """Return the items of a list that are valid."""
        if not isinstance(node, yaml.SequenceNode):
            found = f"{_node_value(node)!r}"
            self.add_fault(
                _line(node), path, found, "a list", "write items with '- '"
            )
            return []
        items: list[Any] = []
        for index, child in enumerate(node.value):
            item = self.read(child, kind.item, f"{path}[{index}]")
            if item is not None:
                items.append(item)
        return items

    def _read_group(self, node: Node, kind: Group, path: str) -> Any:
        """Return a settings object with the values of a mapping."""
        target: Any = kind.settings_class()
        if not isinstance(node, yaml.MappingNode):
            found = f"{_node_value(node)!r}"
            self.add_fault(
                _line(node), path, found, "a mapping", "write 'key: value'"
            )
            return target
        fields = {field.name: field for field in kind.fields}
        seen: set[str] = set()
        for key_node, value_node in node.value:
            name = str(key_node.value)
            child_path = f"{path}.{name}" if path else name
            field = self._known_field(key_node, name, fields, child_path)
            if field is None:
                continue
            if name in seen:
                self.add_fault(
                    _line(key_node),
                    child_path,
                    "a duplicate key",
                    "once",
                    "remove the duplicate",
                )
                continue
            seen.add(name)
            value = self.read(value_node, field.kind, child_path)
            if value is not None:
                setattr(target, name, value)
        self._check_required(node, kind, seen, path)
        return target

    def _known_field(
        self, node: Node, name: str, fields: dict[str, Field], path: str
    ) -> Field | None:
        """Return the field of a key; add a fault if the key is unknown."""
        field = fields.get(name)
        if field is None:
            allowed = "one of " + ", ".join(sorted(fields))
            self.add_fault(
                _line(node), path, "an unknown key", allowed, "remove it"
            )
        return field

    def _check_required(
        self, node: MappingNode, kind: Group, seen: set[str], path: str
    ) -> None:
        """Add a fault for each required field that is missing."""
        for field in kind.fields:
            if not field.required or field.name in seen:
                continue
            child_path = f"{path}.{field.name}" if path else field.name
            allowed = getattr(field.kind, "allowed", "a value")
            remedy = f"add '{field.name}:'"
            self.add_fault(_line(node), child_path, "nothing", allowed, remedy)


def check_text(text: str) -> Result[Settings, list[SettingsFault]]:
    """Return the settings in a YAML text, or all faults."""
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
        reader.add_fault(1, "", "an empty file", "a mapping", "add 'name:'")
        return Failure(reader.faults)
    settings: Settings = reader.read(node, ROOT, "")
    _check_across_fields(settings, reader)
    if reader.faults:
        reader.faults.sort(key=lambda fault: fault.line)
        return Failure(reader.faults)
    settings.set_tenants({each.name: each.share for each in settings.tenants})
    return Success(settings)


def read_settings(path: Path) -> Result[Settings, list[SettingsFault]]:
    """Return the settings in a file, or all faults."""
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


def _check_across_fields(settings: Settings, reader: _Reader) -> None:
    """Check the constraints that involve several fields."""
    _check_operator_address(settings, reader)
    _check_platform(settings, reader)
    _check_names_unique(settings, reader)
    _check_policies(settings, reader)
    limits = settings.limits
    if limits.default_deadline_s > limits.max_deadline_s:
        path = "limits.default_deadline_s"
        reader.add_fault(
            reader.lines.get(path, 1),
            path,
            f"{limits.default_deadline_s:g}",
            f"at most limits.max_deadline_s ({limits.max_deadline_s:g})",
            "lower it or raise limits.max_deadline_s",
        )


def _check_operator_address(settings: Settings, reader: _Reader) -> None:
    """Require a token if the operators' address is not loopback."""
    host_and_port = split_address(settings.listen.operators)
    if host_and_port is None or ip_address(host_and_port[0]).is_loopback:
        return
    if settings.operator_token:
        return
    path = "listen.operators"
    reader.add_fault(
        reader.lines.get(path, 1),
        path,
        f"{settings.listen.operators} without operator_token",
        "a loopback address, or a token",
        "set operator_token",
    )


def _check_platform(settings: Settings, reader: _Reader) -> None:
    """Check that the platform's fields match its binding."""
    platform = settings.platform
    embedded = platform.binding == "memory"
    if not embedded and not platform.address:
        path = "platform.binding"
        reader.add_fault(
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
        reader.add_fault(
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
        reader.add_fault(
            reader.lines.get(path, 1),
            path,
            f"{host.pool!r}",
            allowed,
            "name a pool of platform.pools",
        )


def _check_names_unique(settings: Settings, reader: _Reader) -> None:
    """Check that names are unique within each list."""
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
                reader.add_fault(
                    reader.lines.get(where, 1),
                    where,
                    f"duplicate name {item.name!r}",
                    "a unique name",
                    "rename or remove one of them",
                )
            seen.add(item.name)


def _check_policies(settings: Settings, reader: _Reader) -> None:
    """Check that the policies are registered."""
    from lycheelug.policies import POLICY_REGISTRIES  # noqa: PLC0415

    for name, registry in POLICY_REGISTRIES.items():
        value = getattr(settings.policies, name)
        if value in registry:
            continue
        path = f"policies.{name}"
        reader.add_fault(
            reader.lines.get(path, 1),
            path,
            f"{value!r}",
            "one of " + ", ".join(registry),
            "name a registered policy",
        )


def _line(node: Node) -> int:
    """Return the line number of a node, starting at 1."""
    return int(node.start_mark.line) + 1


def _node_value(node: Node) -> Any:
    """Return the YAML value of a scalar node, or a name of its kind."""
    if isinstance(node, yaml.ScalarNode):
        loader = yaml.SafeLoader("")
        try:
            return loader.construct_object(node, deep=True)
        except (ValueError, yaml.YAMLError):
            return node.value
    return "a list" if isinstance(node, yaml.SequenceNode) else "a mapping"
