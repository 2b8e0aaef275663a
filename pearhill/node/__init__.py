"""What every running dispatcher is made of: start, reload, graceful shutdown, takeover, and one process around it."""
