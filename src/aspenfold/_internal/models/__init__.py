"""Validated models at the border: files, log records, host list."""
