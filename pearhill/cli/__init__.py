"""The command line, built on typer. The platform's daemon (`python -m pearhill`) does not import it."""
