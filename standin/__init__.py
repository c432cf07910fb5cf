"""Test doubles of the systems around ragwortpost; not part of the package."""
