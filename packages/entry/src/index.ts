/** The entry process: look-ups and forwarding for callers. */
export * from './entry_daemon';
export * from './lookup_answers';
export * from './client_block_table';
