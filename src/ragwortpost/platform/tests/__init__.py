"""Tests of ragwortpost.platform, for the packet-level data path."""
