"""Exchange thrift messages with peers over authenticated trio streams."""
