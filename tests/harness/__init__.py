"""Fakes at the interfaces of the system, under virtual time."""
