"""Storage on disk. Only this package writes files; it does not interpret the bytes that it stores."""
