"""What is stored and sent between versions, as version 0.3.0 wrote it. Files here are never written anew."""
