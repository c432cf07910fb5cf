"""Measurements of the product; not shipped."""
