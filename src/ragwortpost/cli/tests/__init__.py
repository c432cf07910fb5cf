"""Tests of ragwortpost.cli."""
