"""What the measurements of control assume."""

SIZES = (3, 9, 27, 81, 243, 690)
SMALL_REGIONS = (3,)
LETTER_REGIONS = (4, 4, 3)
LARGEST_SMALL = 9
SERVICES = 10
WARM_UP_S = 12
MEASURED_S = 30
# Headers of IP and TCP with timestamps, once for the message and once for the
# acknowledgement. Messages that share a packet cost less.
PACKET_BYTES = 52
CONFIG_CHUNKS = 8
CHUNK_BYTES = 16384
SEED = 1
