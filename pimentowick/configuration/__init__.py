"""Configuration documents, and the state machine that replays their log stream."""
