"""Documents of the users and a program that embeds the parts."""
