"""Writes docs/SETTINGS.md from the settings' schema.

Run with `python -m lycheelug.settings_page > docs/SETTINGS.md`; a test
compares the page with what this module writes.
"""

from __future__ import annotations

import sys
from typing import Any, Final

from lycheelug.policies import POLICY_REGISTRIES
from lycheelug.settings_schema import (
    ROOT,
    Field,
    Group,
    GroupList,
    Scalar,
    ScalarList,
)

__all__ = ["render_page"]

HEAD: Final = """\
# Settings

`lycheelugd SETTINGS.yaml` reads one YAML file. Every fault is reported at
once, with file, line, path, what was found and what is allowed; unknown keys
are faults; the exit code is then 2. `lycheelugd SETTINGS.yaml --check` only
checks. This page is written by `python -m lycheelug.settings_page`.

| path | allowed | default | what it is |
| --- | --- | --- | --- |
"""


def render_page() -> str:
    """Return the page."""
    lines = [HEAD]
    _add_group(lines, ROOT, "")
    lines.append("\n## Policies\n\n")
    for name, registry in POLICY_REGISTRIES.items():
        known = ", ".join(f"`{each}`" for each in registry)
        lines.append(f"- `policies.{name}`: {known}\n")
    return "".join(lines)


def _add_group(lines: list[str], group: Group, path: str) -> None:
    """Add the rows of a mapping's keys."""
    defaults: Any = group.made()
    for field in group.fields:
        child_path = f"{path}.{field.name}" if path else field.name
        _add_field(lines, field, child_path, getattr(defaults, field.name))


def _add_field(
    lines: list[str], field: Field, path: str, default: object
) -> None:
    """Add the rows of one key."""
    kind = field.kind
    if isinstance(kind, Group):
        _add_group(lines, kind, path)
        return
    if isinstance(kind, GroupList):
        lines.append(f"| `{path}` | a list | empty | {field.text} |\n")
        _add_group(lines, kind.item, f"{path}[]")
        return
    if isinstance(kind, ScalarList):
        allowed = f"a list: {kind.item.allowed}"
        lines.append(f"| `{path}` | {allowed} | empty | {field.text} |\n")
        return
    assert isinstance(kind, Scalar)
    shown = "required" if field.required else _shown(default)
    lines.append(f"| `{path}` | {kind.allowed} | {shown} | {field.text} |\n")


def _shown(default: object) -> str:
    """Return a default value as the page shows it."""
    if isinstance(default, bool):
        return "true" if default else "false"
    if isinstance(default, float):
        return f"{default:g}"
    return f"`{default}`" if default != "" else "empty"


if __name__ == "__main__":
    sys.stdout.write(render_page())
