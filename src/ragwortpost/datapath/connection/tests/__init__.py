"""Tests of ragwortpost.datapath.connection."""
