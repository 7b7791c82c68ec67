"""State: the attrs classes that describe the system and the tables of them."""
