/**
 * Encodes the heartbeats that a heartbeat passes on: rows of fixed length in base64, so that dozens of them fit into one
 * packet.
 */
import type {PeerState, RelayedHeartbeat} from './peer_table';

/** The index of a state is its code. */
const stateCodes: readonly PeerState[] = ['starting', 'serving', 'leaving', 'isolated'];
/**
 * Stands for a state that this build does not know, of a gateway of a later build. A starting gateway counts as alive, but is
 * not named to callers and relays nothing.
 */
export const unknownPeerState: PeerState = 'starting';
const maxAgeMs = 0xffff;
const maxStartedAtMs = 2 ** 48 - 1;
const maxSequence = 2 ** 32 - 1;

const offsets = {nameHash: 0, startedAtMs: 4, sequence: 10, state: 14, ageMs: 15};
const rowLength = 17;
const startedAtLength = 6;

/** Encodes heartbeats; leaves out those whose numbers do not fit, which no gateway of this project sends. */
export function encodeRelayed(relayed: readonly RelayedHeartbeat[]): string {
  const heartbeats = relayed.filter(fitsRow);
  const rows = Buffer.alloc(heartbeats.length * rowLength);
  heartbeats.forEach(({nameHash, startedAtMs, sequence, state, ageMs}, index) => {
    const start = index * rowLength;
    rows.writeUInt32BE(nameHash, start + offsets.nameHash);
    rows.writeUIntBE(startedAtMs, start + offsets.startedAtMs, startedAtLength);
    rows.writeUInt32BE(sequence, start + offsets.sequence);
    rows.writeUInt8(stateCodes.indexOf(state), start + offsets.state);
    rows.writeUInt16BE(Math.min(maxAgeMs, ageMs), start + offsets.ageMs);
  });
  return rows.toString('base64');
}

function fitsRow({startedAtMs, sequence}: RelayedHeartbeat): boolean {
  return isCountUpTo(maxStartedAtMs, startedAtMs) && isCountUpTo(maxSequence, sequence);
}

function isCountUpTo(max: number, value: number): boolean {
  return Number.isInteger(value) && value >= 0 && value <= max;
}

/** Decodes heartbeats; undefined when the text has no whole rows. */
export function decodeRelayed(text: string): readonly RelayedHeartbeat[] | undefined {
  const rows = Buffer.from(text, 'base64');
  if (rows.length % rowLength !== 0) return undefined;
  const heartbeats: RelayedHeartbeat[] = [];
  for (let start = 0; start < rows.length; start += rowLength) {
    heartbeats.push({
      nameHash: rows.readUInt32BE(start + offsets.nameHash),
      startedAtMs: rows.readUIntBE(start + offsets.startedAtMs, startedAtLength),
      sequence: rows.readUInt32BE(start + offsets.sequence),
      state: stateCodes[rows.readUInt8(start + offsets.state)] ?? unknownPeerState,
      ageMs: rows.readUInt16BE(start + offsets.ageMs),
    });
  }
  return heartbeats;
}
