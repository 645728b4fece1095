"""The operator's command line: checks, bundles, compares and reads back."""
