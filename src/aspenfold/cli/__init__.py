"""The programs' command lines; all that they do is in ``_internal``."""
