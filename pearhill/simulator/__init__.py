"""The simulator's side: the decisions on its binary frames, on standard input and output."""
