/** Wire format of heartbeats between gateways: JSON in one datagram, with the passed-on heartbeats in binary rows. */
import type {AnsweredRequest, PoisonSuspicion} from '@cuminsill/types';
import type {JsonObject} from '@cuminsill/utils';
import {
  asObject,
  countField,
  listField,
  numberField,
  parseJson,
  stringField,
} from '@cuminsill/utils';
import type {PeerHeartbeat, PeerState, RelayedHeartbeat} from './peer_table';
import {decodeRelayed, encodeRelayed, unknownPeerState} from './relayed_heartbeats';

/** Content of a heartbeat. */
export interface PeerMessage extends PeerHeartbeat {
  readonly relayed: readonly RelayedHeartbeat[];
  readonly suspicions: readonly PoisonSuspicion[];
  readonly answers: readonly AnsweredRequest[];
  /** Number of suspicions and answers that this build cannot read and has left out. */
  readonly unreadableEntries?: number;
}

const peerStates: ReadonlyMap<string | undefined, PeerState> = new Map([
  ['starting', 'starting'],
  ['serving', 'serving'],
  ['leaving', 'leaving'],
  ['isolated', 'isolated'],
]);

/** Decodes a heartbeat; undefined when the text is invalid. */
export function decodePeerMessage(text: string): PeerMessage | undefined {
  const from = asObject(parseJson(text));
  return from === undefined ? undefined : decodePeerFields(from);
}

/** Decodes the fields of a heartbeat; undefined when one is invalid. */
export function decodePeerFields(from: JsonObject): PeerMessage | undefined {
  const name = stringField(from, 'name');
  const startedAtMs = numberField(from, 'startedAtMs');
  const sequence = countField(from, 'sequence');
  const stateText = stringField(from, 'state');
  const relayed = decodeRelayed(stringField(from, 'relayed') ?? '');
  if (name === undefined || startedAtMs === undefined || sequence === undefined) return undefined;
  if (stateText === undefined || relayed === undefined) return undefined;
  const suspicions = readableEntries(from['suspicions'], decodeSuspicion);
  const answers = readableEntries(from['answers'], decodeAnswer);
  const unreadableEntries = suspicions.unreadable + answers.unreadable;
  return {
    name,
    startedAtMs,
    sequence,
    state: peerStates.get(stateText) ?? unknownPeerState,
    relayed,
    suspicions: suspicions.entries,
    answers: answers.entries,
    ...(unreadableEntries === 0 ? {} : {unreadableEntries}),
  };
}

interface ReadableEntries<Entry> {
  readonly entries: readonly Entry[];
  readonly unreadable: number;
}

/** Reads the entries that this build understands. A list that is missing is empty: gateways of earlier builds send fewer. */
function readableEntries<Entry>(
  value: unknown,
  decode: (entry: unknown) => Entry | undefined,
): ReadableEntries<Entry> {
  const list: readonly unknown[] = Array.isArray(value) ? value : [];
  const entries = list.flatMap(entry => decode(entry) ?? []);
  return {entries, unreadable: list.length - entries.length};
}

/** Encodes a heartbeat. */
export function encodePeerMessage({relayed, ...message}: PeerMessage): string {
  return JSON.stringify({...message, relayed: encodeRelayed(relayed)});
}

function decodeAnswer(value: unknown): AnsweredRequest | undefined {
  const from = asObject(value);
  if (from === undefined) return undefined;
  const fingerprint = stringField(from, 'fingerprint');
  const answeredAtMs = numberField(from, 'answeredAtMs');
  if (fingerprint === undefined || answeredAtMs === undefined) return undefined;
  return {fingerprint, answeredAtMs};
}

function decodeSuspicion(value: unknown): PoisonSuspicion | undefined {
  const from = asObject(value);
  if (from === undefined) return undefined;
  const fingerprint = stringField(from, 'fingerprint');
  const untilMs = numberField(from, 'untilMs');
  const targetIds = listField(from, 'targetIds', asString);
  if (fingerprint === undefined || untilMs === undefined || targetIds === undefined) {
    return undefined;
  }
  // Gateways of earlier versions do not distinguish repeats; they count every lost target.
  const repeatTargetIds = listField(from, 'repeatTargetIds', asString) ?? targetIds;
  const suspicion = {fingerprint, untilMs, targetIds, repeatTargetIds};
  // Nor do they tell when each target was lost.
  if (from['lostAtMs'] === undefined) return suspicion;
  const lostAtMs = listField(from, 'lostAtMs', asNumber);
  const repeatLostAtMs = listField(from, 'repeatLostAtMs', asNumber);
  if (lostAtMs?.length !== targetIds.length) return undefined;
  if (repeatLostAtMs?.length !== repeatTargetIds.length) return undefined;
  return {...suspicion, lostAtMs, repeatLostAtMs};
}

function asNumber(value: unknown): number | undefined {
  return typeof value === 'number' ? value : undefined;
}

function asString(value: unknown): string | undefined {
  return typeof value === 'string' ? value : undefined;
}
