"""What the cases 6 to 10 of the second review share."""
