"""Scenarios and differential tests over the whole system."""
