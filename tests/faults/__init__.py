"""Faults inside the program: exceptions that are raised at each place on the way of a request."""
