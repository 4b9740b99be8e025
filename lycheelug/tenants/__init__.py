"""Tenants: their keys, caps and shares; decisions without I/O."""

from __future__ import annotations

from lycheelug.tenants.gate import KeyGate
from lycheelug.tenants.keys import KeyAdmission, KeyCheck, KeyVerdict
from lycheelug.tenants.model import Tenant, TenantDirectory, is_foreign

__all__ = [
    "KeyAdmission",
    "KeyCheck",
    "KeyGate",
    "KeyVerdict",
    "Tenant",
    "TenantDirectory",
    "is_foreign",
]
