"""What operators set while the dispatcher serves: replicas out by hand, the drain, the handover. Free of I/O."""
