"""Tests of the whole system: simulated scenarios and real processes."""
