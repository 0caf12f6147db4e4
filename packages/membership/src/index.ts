/** Heartbeats and gossip between control processes, and the view of all instances that results. */
export * from './membership';
export * from './options';
export * from './wire_checks';
