"""Validated models of external data: files, log records, host list."""
