"""The bill of a period: every charge as Parquet, and statements as HTML and CSV. Reads a journal, changes nothing."""
