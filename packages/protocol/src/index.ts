/** Generated messages and services of the protocol between the system's own processes. */
export * from './gen/cuminsill/v1/peer_pb';
