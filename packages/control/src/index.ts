/** The control daemon. */
export * from './control_daemon';
