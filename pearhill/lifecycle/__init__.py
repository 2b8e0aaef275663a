"""What operators set while the dispatcher serves, the drain, the shutdown's times, and the takeover. Free of I/O."""
