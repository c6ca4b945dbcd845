"""Fault soak: real processes on loopback, faults from outside, seeded."""
