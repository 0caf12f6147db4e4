/** Keeps each control process's view of all instances up to date with heartbeats and gossip. */
export * from './membership';
export * from './options';
export * from './wire_conversion';
