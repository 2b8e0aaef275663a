"""What is kept on disk: the only code that writes files. It knows bytes and numbers, and not what they mean."""
