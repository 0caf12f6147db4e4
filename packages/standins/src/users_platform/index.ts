/** Stand-ins for the users' platform: its store, its endpoints and its settings files. */
export * from './endpoint_server';
export * from './object_store_server';
export * from './object_table';
export * from './settings_template';
export * from './wire_objects';
