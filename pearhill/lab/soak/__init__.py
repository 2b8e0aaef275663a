"""Randomized fault soak: real dispatcher processes on loopback, with overlapping faults and the rules as the oracle."""
