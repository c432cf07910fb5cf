"""Benchmarks of the product; not part of the package."""
