/**
 * The gateway: answers look-ups of callers and forwards their requests to targets; reaches the platform through
 * ports.
 */
export type {LogOutput} from './decision_log';
export * from './explain_request';
export type {GatewayStatus} from './status_page';
export * from './gateway';
export * from './gateway_ports';
export {decodeSettings, SettingsError} from './gateway_settings';
export * from './gateway_types';
export * from './lookup_wire';
export * from './object_source';
export * from './request_wire';
export * from './socket_address';
