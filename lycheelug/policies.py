"""The policy registries, by the settings field that refers to them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

from lycheelug.admission import QUEUES
from lycheelug.dispatch import CHOICES
from lycheelug.retries import BUDGETS
from lycheelug.slots import SHARES

if TYPE_CHECKING:
    from lycheelug.registry import Registry

__all__ = ["POLICY_REGISTRIES"]

POLICY_REGISTRIES: Final[dict[str, Registry[Any]]] = {
    "queue": QUEUES,
    "choice": CHOICES,
    "share": SHARES,
    "retries": BUDGETS,
}
