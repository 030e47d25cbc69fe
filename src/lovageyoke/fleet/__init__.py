"""What the processes of one deployment tell each other."""
