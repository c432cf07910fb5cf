"""Tests of ragwortpost.datapath.process."""
