"""The command line, on typer. The platform's daemon (`python -m pearhill`) needs none of it."""
