"""Puts an answer together so that it is whole or visibly broken."""
