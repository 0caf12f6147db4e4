/** The protocol between the processes of the system: generated messages, clients and the peer port. */
export * from './gen/cuminsill/v1/peer_pb';
export * from './peer_client';
export * from './peer_key';
export * from './peer_server';
