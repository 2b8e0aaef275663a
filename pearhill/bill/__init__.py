"""The bill of a month: every charge as Parquet, and statements as HTML and CSV. Only reads the journal."""
