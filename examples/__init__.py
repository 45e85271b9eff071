"""Example documents, and a program that embeds the library."""
