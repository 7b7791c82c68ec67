"""Example templates of two firms, and a demonstration of the whole system."""
