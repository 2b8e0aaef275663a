"""Runs the routing code for a simulator, which exchanges binary frames on standard input and output."""
