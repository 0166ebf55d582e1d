"""What a backend server embeds to work with the node beside it."""
