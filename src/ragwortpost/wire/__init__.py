"""Generated messages and stubs of the protocol between processes."""
