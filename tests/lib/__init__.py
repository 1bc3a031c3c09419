"""Simulations, clients and fakes that tests share."""
