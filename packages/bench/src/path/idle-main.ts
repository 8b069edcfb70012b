// Idle Node process; its memory is the baseline that is subtracted from the memory of the daemons.
setInterval(() => undefined, 1_000);
