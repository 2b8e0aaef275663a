"""Load spread evenly by many dispatchers of which each sees little: what engines tell, whom to ask, whether it pays.
Free of I/O; the clock is passed in."""
