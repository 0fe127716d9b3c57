"""Times, in seconds, and names of the simulated fleet."""

NETWORK_DELAY = 0.001
RUN_TIME = 0.02
DEADLINE = 0.4
POISON_DEADLINE = 1
CALLER_TIMEOUT = 0.5
CALL_TIMEOUT = 1
CALLER_TRIES = 8
FAULT_TIME = 1.3
# Restart time of a target that died.
DEATH_TIME = 0.2
POISON = 'poison'
# Name prefix of an order that runs beyond its deadline.
SLOW = 'slow'
SLOW_RUN_TIME = 0.6
# Maximum number of targets that one poison request may kill.
DEATHS_LIMIT = 2
DAEMONS = ('lima-0', 'lima-1', 'lima-2')
DISPATCHER = 'lima-2'
TARGET = 'target'
