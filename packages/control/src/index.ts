/** Public interface of the control daemon. */
export * from './control_daemon';
