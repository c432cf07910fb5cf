"""Stand-ins for the systems around ragwortpost; not part of the package."""
