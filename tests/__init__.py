"""Tests across packages: simulated scenarios, real processes, stand-ins."""
