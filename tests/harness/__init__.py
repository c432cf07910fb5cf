"""In-memory substitutes for the external interfaces, under virtual time."""
