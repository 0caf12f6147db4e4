/** Makes objects, settings and headers in the platform's wire formats, for tests, the demo and the soak. */
import type {IncomingHttpHeaders} from 'node:http';
import {renderTemplate} from './settings_template';

/** Names of the kinds of objects in the store. */
export const wireKinds = {
  configuration: 'config',
  targets: 'servers',
  evacuations: 'evacuations',
} as const;

/** Name of the configuration object. */
export const wireConfigurationName = 'main';

/** Makes a configuration with an idempotent, a non-idempotent and an upload route; `changes` replaces fields. */
export function wireConfiguration(version: number, changes: object = {}): object {
  return {
    version,
    services: [wireService('pages', 3, 7.4)],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 1_000_000,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    hosts: [
      {
        host: 'one.example',
        paths: [
          wireRoute('read', '/read/', 'idempotent'),
          wireRoute('book', '/book/', 'non_idempotent'),
          wireRoute('send', '/send/', 'upload'),
        ],
      },
    ],
    ...changes,
  };
}

/** Makes the configuration of a service. */
export function wireService(name: string, coldStartS: number, coldRequestsPerS: number): object {
  return {name, healthPath: '/health', coldStartS, coldPerS: coldRequestsPerS};
}

/** Makes a route, by default to the service `pages`. */
export function wireRoute(
  name: string,
  pathPrefix: string,
  kind: string,
  service = 'pages',
): object {
  return {
    name,
    pathPrefix,
    kind,
    timeoutMs: 1_000,
    targetLatencyMs: 400,
    priority: 1,
    attempts: 2,
    sticky: true,
    homeRegions: [],
    service,
  };
}

/** Makes the object that an endpoint publishes about itself; `changes` replaces fields. */
export function wireEndpoint(port: number, changes: object = {}): object {
  return {
    service: 'pages',
    address: `127.0.0.1:${port}`,
    zone: 'a-1',
    version: 'v1',
    slots: 3,
    state: 'ready',
    coldRemainingMs: 0,
    seq: 1,
    born: 1_000,
    ...changes,
  };
}

/** Makes the changes in the object of an endpoint whose process has just started. */
export function wireEndpointStart(coldForMs: number, startedAtMs: number): object {
  return {coldRemainingMs: coldForMs, born: Math.floor(startedAtMs)};
}

/** Ports of a gateway, under the names of the platform's template, and of the store that it calls. */
export interface SettingsPorts {
  readonly store: number;
  readonly front: number;
  readonly ready: number;
  readonly directory: number;
  readonly metrics: number;
  readonly peer: number;
}

/** Name and location of a gateway, and how long it may take to stop. */
export interface GatewayPlacement {
  readonly name: string;
  readonly region: string;
  readonly failureDomain: string;
  /** Region of each failure domain. */
  readonly regions: Readonly<Record<string, string>>;
  readonly stopGraceS: number;
  readonly retryWindowS?: number;
  /** Memory above which the platform ends the process, in megabytes. */
  readonly memoryMb?: number;
  /** Bound on the revocation of keys; without it, revocation is not strict. */
  readonly keyRevocationMs?: number;
  /** How exactly quotas must hold, under the names of the template; missing when the platform limits no workspaces. */
  readonly quotaBounds?: {
    readonly quotaWindowS: number;
    readonly quotaOvershoot: number;
    readonly quotaSlack: number;
  };
}

const defaultRetryWindowS = 10;
const defaultMemoryMb = 350;

/** Placement of a gateway in tests with a single one. */
export const defaultPlacement: GatewayPlacement = {
  name: 'front-a-1-1',
  region: 'a',
  failureDomain: 'a-1',
  regions: {'a-1': 'a'},
  stopGraceS: 1,
};

/** Path of the template of a gateway's settings file, relative to the root of the repository. */
export const settingsTemplateFile = 'platform/gateway_settings.json.template';

/** Time after a disruption from which on the platform expects a gateway to keep all bounds again, in milliseconds. */
export const settleAfterDisruptionMs = 3_000;

/**
 * Times in milliseconds, from the store's acknowledgement of a change, after which the platform expects a gateway to act on it:
 * a new configuration, a target that drains or is gone, and an evacuation.
 */
export const changeBounds = {configApplyMs: 2_500, drainMs: 2_500, evacuateMs: 5_000} as const;

/** Makes the fields that the platform passes to the template, for a gateway on the loopback address. */
export function templateFields(
  host: string,
  ports: SettingsPorts,
  place: GatewayPlacement = defaultPlacement,
): object {
  return {
    nodeName: place.name,
    ip: host,
    zone: place.failureDomain,
    region: place.region,
    internalPorts: [ports.peer, ports.peer],
    zones: place.regions,
    listen: {
      front: `${host}:${ports.front}`,
      ready: `${host}:${ports.ready}`,
      directory: `${host}:${ports.directory}`,
    },
    limits: {memoryMb: place.memoryMb ?? defaultMemoryMb},
    bounds: {
      graceS: place.stopGraceS,
      stabilityMs: settleAfterDisruptionMs,
      retryBudgetRatio: 0.2,
      budgetWindowS: place.retryWindowS ?? defaultRetryWindowS,
      budgetSlack: 60,
      coldOvershoot: 1.5,
      coldSlack: 5,
      ttl_max_s: 5,
      ...changeBounds,
      ...(place.keyRevocationMs === undefined
        ? {}
        : {revokeStrict: true, revokeMs: place.keyRevocationMs}),
      ...place.quotaBounds,
    },
    platform: {address: `127.0.0.1:${ports.store}`},
  };
}

/** Renders the settings file of a gateway on the loopback address from the project's template. */
export function renderGatewaySettings(
  template: string,
  host: string,
  ports: SettingsPorts,
  place?: GatewayPlacement,
): string {
  const text = renderTemplate(template, templateFields(host, ports, place));
  // Several gateways share the loopback address, so they cannot all use the template's fixed metrics port.
  return text.replace(/"metrics": "[^"]*"/, `"metrics": "${host}:${ports.metrics}"`);
}

/** Makes the headers of a caller's request. */
export function callerHeaders(
  requestId: string,
  deadlineMs: number,
  objectKey: string,
): Readonly<Record<string, string>> {
  return {
    Host: 'one.example',
    'Request-Id': requestId,
    'Deadline-Ms': String(deadlineMs),
    Cookie: `Affinity-Key=${objectKey}`,
  };
}

/** The headers of an answer that matter to a caller. */
export interface CallerAnswerHead {
  /** Empty when the answer has no request id. */
  readonly requestId: string;
  /** Signature of the endpoint that answered; undefined when the gateway answered itself. */
  readonly signature: string | undefined;
}

/** Reads these headers of an answer. */
export function readAnswerHead(headers: IncomingHttpHeaders): CallerAnswerHead {
  const textOf = (name: string) => {
    const value = headers[name];
    return typeof value === 'string' ? value : value?.[0];
  };
  return {requestId: textOf('request-id') ?? '', signature: textOf('response-stamp')};
}

/** URL paths of a gateway that the platform and the callers request. */
export const gatewayPages = {
  ready: '/cuminsill/ready',
  lookUp: '/cuminsill/resolve?name=one.example&region=a&zone=a-1',
} as const;
