"""Wire the components of one gateway process, start them and shut them down."""
