"""Test doubles of external systems; not part of the installed package."""
