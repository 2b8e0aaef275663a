"""The admin endpoint: operators' calls and figures over HTTP."""
