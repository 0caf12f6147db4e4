/**
 * Checks a gateway's settings file and decodes it. A reload applies the bounds; all other settings apply at the next
 * start. Fields are read one by one, so that the bundled program does not include a schema library.
 */
import type {SocketAddress} from '@cuminsill/types';
import type {JsonObject} from '@cuminsill/utils';
import {asObject, numberField, parseJson, stringField} from '@cuminsill/utils';
import type {GatewayBounds, GatewaySettings, QuotaBounds} from './gateway_types';
import {parseAddress} from './socket_address';

/** Memory of a small machine, for a platform that states no limit. */
const defaultMemoryLimitMb = 256;

/** An invalid settings file, with all problems found. */
export class SettingsError extends Error {
  override readonly name = 'SettingsError';

  constructor(readonly problems: readonly string[]) {
    super(`The settings file cannot be used:\n${problems.map(line => `- ${line}`).join('\n')}`);
  }
}

/** Decodes the text of a settings file. Throws SettingsError. */
export function decodeSettings(text: string): GatewaySettings {
  const reader = new SettingsReader(parseSettings(text));
  const settings = readSettings(reader);
  if (reader.problems.length > 0) throw new SettingsError(reader.problems);
  return settings;
}

/** The settings in force. */
export class CurrentSettings {
  constructor(private current: GatewaySettings) {}

  get value(): GatewaySettings {
    return this.current;
  }

  /** Applies the new bounds; returns the names of other changed settings, which apply at the next start. */
  reload(next: GatewaySettings): readonly string[] {
    const {bounds, ...fixed} = next;
    const waiting = Object.entries(fixed)
      .filter(([field, value]) => !isEqual(value, this.current[field as keyof GatewaySettings]))
      .map(([field]) => field);
    this.current = {...this.current, bounds};
    return waiting;
  }
}

function isEqual(left: unknown, right: unknown): boolean {
  const plain = (value: unknown) => (value instanceof Map ? Object.fromEntries(value) : value);
  return JSON.stringify(plain(left)) === JSON.stringify(plain(right));
}

function parseSettings(text: string): JsonObject {
  const content = asObject(parseJson(text));
  if (content === undefined) throw new SettingsError(['the file is not a JSON object']);
  return content;
}

function readSettings(reader: SettingsReader): GatewaySettings {
  const domains = Object.entries(reader.table('regionOfFailureDomain'));
  return {
    name: reader.text('', 'name'),
    region: reader.text('', 'region'),
    failureDomain: reader.text('', 'failureDomain'),
    regions: new Map(domains.map(([domain, region]) => [domain, String(region)])),
    storeAddress: reader.address('', 'storeAddress'),
    listen: {
      callers: reader.address('listen', 'callers'),
      lookups: reader.address('listen', 'lookups'),
      readiness: reader.address('listen', 'readiness'),
      metrics: reader.address('listen', 'metrics'),
      peers: reader.address('listen', 'peers'),
    },
    memoryLimitMb: reader.optionalNumber('', 'memoryLimitMb') ?? defaultMemoryLimitMb,
    bounds: readBounds(reader),
  };
}

function readBounds(reader: SettingsReader): GatewayBounds {
  const bound = (field: string) => reader.nonNegativeNumber('bounds', field);
  return {
    stopGraceMs: bound('stopGraceS') * 1000,
    resyncMs: bound('resyncMs'),
    changeMs: readChangeMs(reader),
    retryRatio: bound('retryRatio'),
    retryWindowMs: bound('retryWindowS') * 1000,
    retrySlack: bound('retrySlackRequests'),
    coldOvershoot: bound('coldOvershootRatio'),
    coldSlack: bound('coldSlackRequests'),
    maxLookupTtlMs: bound('maxLookupTtlS') * 1000,
    keyRevocationMs: readKeyRevocationMs(reader),
    quota: readQuotaBounds(reader),
  };
}

/** A platform that states no bound on changes expects them in force as soon as after a disruption. */
function readChangeMs(reader: SettingsReader): number {
  const fields = ['configurationChangeMs', 'targetDrainMs', 'evacuationMs'];
  const bounds = fields.flatMap(field => reader.optionalNumber('bounds', field) ?? []);
  return bounds.length === 0 ? reader.nonNegativeNumber('bounds', 'resyncMs') : Math.min(...bounds);
}

function readKeyRevocationMs(reader: SettingsReader): number | undefined {
  const boundMs = reader.optionalNumber('bounds', 'keyRevocationMs');
  return reader.flag('bounds', 'strictKeyRevocation') ? boundMs : undefined;
}

/** A deployment without quotas has no window for them. */
function readQuotaBounds(reader: SettingsReader): QuotaBounds | undefined {
  const windowS = reader.optionalNumber('bounds', 'quotaWindowS');
  const overshootRatio = reader.optionalNumber('bounds', 'quotaOvershootRatio') ?? 0;
  const slackRequests = reader.optionalNumber('bounds', 'quotaSlackRequests') ?? 0;
  return windowS === undefined
    ? undefined
    : {windowMs: windowS * 1000, overshootRatio, slackRequests};
}

/** Reads fields and collects all problems, so that one check reports every one. */
class SettingsReader {
  readonly problems: string[] = [];

  constructor(private readonly root: JsonObject) {}

  table(name: string): JsonObject {
    return name === '' ? this.root : (asObject(this.root[name]) ?? {});
  }

  text(table: string, field: string): string {
    const value = stringField(this.table(table), field);
    return value === undefined || value === ''
      ? this.addProblem(table, field, 'a text', '')
      : value;
  }

  nonNegativeNumber(table: string, field: string): number {
    const value = numberField(this.table(table), field);
    const isUsable = value !== undefined && value >= 0;
    return isUsable ? value : this.addProblem(table, field, 'a number of 0 or more', 0);
  }

  /** Reads a number that may be missing; the template renders a missing value as an empty text. */
  optionalNumber(table: string, field: string): number | undefined {
    const raw = this.table(table)[field];
    if (raw === undefined || raw === '') return undefined;
    const value = Number(raw);
    const isUsable = Number.isFinite(value) && value >= 0;
    return isUsable ? value : this.addProblem(table, field, 'a number of 0 or more', undefined);
  }

  /** Reads `true` or `false`, as a text too; a missing value is false. */
  flag(table: string, field: string): boolean {
    const raw = this.table(table)[field];
    if (raw === undefined || raw === '') return false;
    const text = String(raw);
    if (text === 'true' || text === 'false') return text === 'true';
    return this.addProblem(table, field, 'true or false', false);
  }

  address(table: string, field: string): SocketAddress {
    const value = parseAddress(stringField(this.table(table), field));
    return value ?? this.addProblem(table, field, 'an address such as 10.1.0.15:8641', noAddress);
  }

  private addProblem<Value>(table: string, field: string, expected: string, value: Value): Value {
    const name = table === '' ? field : `${table}.${field}`;
    const found = this.table(table)[field];
    const shown = found === undefined ? 'missing' : JSON.stringify(found);
    this.problems.push(`${name} is ${shown}; expected ${expected}`);
    return value;
  }
}

const noAddress: SocketAddress = {host: '', port: 0};
