// Stands for a Node process without any work; the memory of daemons is compared with it.
setInterval(() => undefined, 1_000);
