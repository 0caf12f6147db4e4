/** Stand-ins for the users' platform: its store and its endpoints. */
export * from './endpoint_server';
export * from './object_store_server';
export * from './object_table';
export * from './settings_template';
export * from './wire_objects';
