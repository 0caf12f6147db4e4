/**
 * The gateway: answers look-ups of callers and forwards their requests to targets; reaches the platform through
 * ports.
 */
export type {LogOutput} from './logs/decision_log';
export * from './logs/explain_request';
export * from './logs/loss_reasons';
export * from './logs/loss_report';
export type {GatewayStatus} from './pages/status_page';
export * from './gateway';
export * from './gateway_ports';
export {decodeSettings, SettingsError} from './gateway_settings';
export * from './gateway_types';
export {BodyBuffer} from './memory/body_buffer';
export type {BodyReservation} from './memory/body_memory';
export * from './pages/lookup_wire';
export * from './store/object_source';
export * from './requests/request_wire';
export * from './socket_address';
