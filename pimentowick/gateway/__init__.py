"""The entry as it runs where targets are called directly and hosts keep nothing."""
