"""The operator's command line: check, bundle, compare and inspect."""
