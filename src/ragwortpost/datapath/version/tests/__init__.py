"""Tests of ragwortpost.datapath.version."""
