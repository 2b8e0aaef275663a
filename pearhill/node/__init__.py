"""The parts that every running dispatcher needs: start, reload, graceful shutdown, takeover and the process itself."""
